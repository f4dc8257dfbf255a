#include "kernel/plugin.h"

#include <algorithm>

#include "core/failure.h"

namespace heatherdeal::kernel {

namespace {

std::vector<PluginDescriptor>&
Registry()
{
  static std::vector<PluginDescriptor> registry;
  return registry;
}

bool
Contains(std::span<const PluginDescriptor> aPlugins, std::string_view aName)
{
  return std::ranges::find(aPlugins, aName, &PluginDescriptor::m_name) !=
         aPlugins.end();
}

bool
HasAllDependencies(const PluginDescriptor& aPlugin,
                   std::span<const PluginDescriptor> aPrecedingPlugins)
{
  return std::ranges::all_of(aPlugin.m_dependencies,
                             [&](std::string_view aDependency) {
                               return Contains(aPrecedingPlugins, aDependency);
                             });
}

} // namespace

std::any
ParseNoSettings(SettingsReader&)
{
  return NoSettings{};
}

PluginRegistration::PluginRegistration(const PluginDescriptor& aDescriptor)
{
  Registry().push_back(aDescriptor);
}

absl::Status
SortPluginsByDependency(std::vector<PluginDescriptor>& aOrdered)
{
  std::vector<PluginDescriptor> remaining = Registry();
  // The registration order depends on the linker, so sort by name to start
  // plug-ins in the same order in every build.
  std::ranges::sort(remaining, {}, &PluginDescriptor::m_name);
  while (!remaining.empty()) {
    const auto ready =
      std::ranges::find_if(remaining, [&](const PluginDescriptor& aPlugin) {
        return HasAllDependencies(aPlugin, aOrdered);
      });
    if (ready == remaining.end()) {
      return core::ToStatus(core::NotFound{
        "a dependency of plug-in " + std::string(remaining.front().m_name) });
    }
    aOrdered.push_back(*ready);
    remaining.erase(ready);
  }
  return absl::OkStatus();
}

std::vector<std::string_view>
RegisteredPlugins()
{
  std::vector<std::string_view> names;
  for (const PluginDescriptor& plugin : Registry()) {
    names.push_back(plugin.m_name);
  }
  std::ranges::sort(names);
  return names;
}

boost::json::value
DumpPlugins(Context& aContext)
{
  boost::json::object dump;
  for (const PluginDescriptor& plugin : Registry()) {
    if (plugin.m_dump != nullptr) {
      dump[boost::json::string_view(
        plugin.m_name.data(), plugin.m_name.size())] = plugin.m_dump(aContext);
    }
  }
  return dump;
}

} // namespace heatherdeal::kernel
