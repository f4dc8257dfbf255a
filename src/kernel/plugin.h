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

/// What a plug-in hands to the kernel. The functions are called on the
/// control thread; the settings are what m_parseSettings returned.
struct PluginDescriptor
{
  /// Also the name of the plug-in's section in the settings file.
  std::string_view m_name;
  /// Plug-ins that start before this one.
  std::span<const std::string_view> m_needs;
  std::any (*m_parseSettings)(SettingsReader& aReader) = nullptr;
  absl::Status (*m_start)(Context& aContext,
                          const std::any& aSettings) = nullptr;
  /// Begins a graceful shutdown; may be null.
  void (*m_drain)(Context& aContext) = nullptr;
  /// The plug-in's state for operators; may be null.
  boost::json::value (*m_dump)(Context& aContext) = nullptr;
};

/// Settings of a plug-in that has none.
struct NoSettings
{};

std::any
ParseNoSettings(SettingsReader& aReader);

/// Registers a plug-in before main; one static object per plug-in.
struct PluginRegistration
{
  explicit PluginRegistration(const PluginDescriptor& aDescriptor);
};

/// The plug-ins of this binary, each after those that it needs. A need that
/// is not linked in, or a circle, is a NotFound failure.
absl::Status
OrderPlugins(std::vector<PluginDescriptor>& aOrdered);

/// The names of the plug-ins linked into this binary, sorted.
std::vector<std::string_view>
RegisteredPlugins();

/// The dump of every plug-in, by name. Control thread only.
boost::json::value
DumpAll(Context& aContext);

} // namespace heatherdeal::kernel
