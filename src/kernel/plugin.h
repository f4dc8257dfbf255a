#pragma once

#include <any>
#include <span>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "boost/json/value.hpp"

#include "kernel/context.h"
#include "kernel/settingsreader.h"

namespace heatherdeal::kernel {

/// Describes a plug-in to the kernel, which calls the functions on the control
/// thread.
struct PluginDescriptor
{
  /// Name of the plug-in and of its section in the settings file.
  std::string_view m_name;
  /// Names of the plug-ins that have to start before this one.
  std::span<const std::string_view> m_dependencies;
  /// Parses the plug-in's section of the settings file.
  std::any (*m_parseSettings)(SettingsReader& aReader) = nullptr;
  /// Starts the plug-in with the settings that m_parseSettings returned.
  absl::Status (*m_start)(Context& aContext,
                          const std::any& aSettings) = nullptr;
  /// Begins a graceful shutdown; may be null.
  void (*m_drain)(Context& aContext) = nullptr;
  /// Returns the plug-in's state for the operators' dump; may be null.
  boost::json::value (*m_dump)(Context& aContext) = nullptr;
};

/// The settings type of plug-ins without settings.
struct NoSettings
{};

/// Reports every field of the section as unknown, for plug-ins without
/// settings.
std::any
ParseNoSettings(SettingsReader& aReader);

/// Registers a plug-in before main. Each plug-in defines one static object of
/// this type.
struct PluginRegistration
{
  explicit PluginRegistration(const PluginDescriptor& aDescriptor);
};

/// Appends the plug-ins of this binary to aOrdered, each after its
/// dependencies. Fails with NotFound if a dependency is not linked into the
/// binary or if dependencies are circular.
absl::Status
SortPluginsByDependency(std::vector<PluginDescriptor>& aOrdered);

/// Returns the sorted names of the plug-ins that are linked into this binary.
std::vector<std::string_view>
RegisteredPlugins();

/// Returns the state of every plug-in that has a dump, by plug-in name. Control
/// thread only.
boost::json::value
DumpPlugins(Context& aContext);

} // namespace heatherdeal::kernel
