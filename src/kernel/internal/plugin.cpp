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
NeedsAreMet(const PluginDescriptor& aPlugin,
            std::span<const PluginDescriptor> aStarted)
{
  return std::ranges::all_of(aPlugin.m_needs, [&](std::string_view aNeed) {
    return Contains(aStarted, aNeed);
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
OrderPlugins(std::vector<PluginDescriptor>& aOrdered)
{
  std::vector<PluginDescriptor> waiting = Registry();
  // The order of static construction differs between linkers.
  std::ranges::sort(waiting, {}, &PluginDescriptor::m_name);
  while (!waiting.empty()) {
    const auto ready =
      std::ranges::find_if(waiting, [&](const PluginDescriptor& aPlugin) {
        return NeedsAreMet(aPlugin, aOrdered);
      });
    if (ready == waiting.end()) {
      return core::ToStatus(core::NotFound{
        "a plug-in needed by " + std::string(waiting.front().m_name) });
    }
    aOrdered.push_back(*ready);
    waiting.erase(ready);
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
DumpAll(Context& aContext)
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
