#include "usage/usagemodule.h"

#include "gossip/gossipmodule.h"
#include "http/httpmodule.h"
#include "http/server.h"
#include "kernel/plugin.h"
#include "lease/releasedelay.h"
#include "objectstore/objectstoremodule.h"
#include "usage/internal/countsender.h"
#include "usage/internal/dutyholder.h"

namespace heatherdeal::usage {

namespace {

/// The state of the plug-in. A host either counts or competes for the duty.
struct UsagePlugin
{
  std::shared_ptr<CountSender> m_sender;
  std::shared_ptr<DutyHolder> m_holder;
  std::unique_ptr<lease::ReleaseDelay> m_releaseDelay;
};

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  return ParseUsageSettings(aReader);
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  const auto& settings = std::any_cast<const UsageSettings&>(aSettings);
  auto plugin = std::make_shared<UsagePlugin>();
  aContext.Provide(plugin);
  if (!settings.m_isEnabled) {
    return absl::OkStatus();
  }
  auto announcement = std::make_shared<HolderAnnouncement>(aContext);
  announcement->Start();
  if (settings.m_competes) {
    auto holder =
      std::make_shared<DutyHolder>(aContext, settings, announcement);
    plugin->m_holder = holder;
    aContext.Get<http::Server>()->AddRoute(
      { "POST", std::string(kCountsPath), [holder](http::Exchange& aExchange) {
         return holder->ServeCounts(aExchange);
       } });
    holder->Start();
    return absl::OkStatus();
  }
  auto counter =
    std::make_shared<UsageCounter>(settings.m_reporting.m_windowMilliseconds);
  aContext.Provide(counter);
  plugin->m_sender = std::make_shared<CountSender>(
    aContext, settings, std::move(counter), announcement);
  plugin->m_sender->Start();
  return absl::OkStatus();
}

void
Drain(kernel::Context& aContext)
{
  const auto plugin = aContext.Get<UsagePlugin>();
  if (plugin->m_sender) {
    plugin->m_sender->Drain();
  }
  if (!plugin->m_holder) {
    return;
  }
  plugin->m_holder->Resign();
  plugin->m_releaseDelay = std::make_unique<lease::ReleaseDelay>(aContext);
}

boost::json::value
Dump(kernel::Context& aContext)
{
  const auto plugin = aContext.Get<UsagePlugin>();
  if (plugin->m_holder) {
    return plugin->m_holder->Dump();
  }
  if (!plugin->m_sender) {
    return { { "enabled", false } };
  }
  const CountSending& sending = plugin->m_sender->State();
  return { { "holder", sending.m_holder.m_host },
           { "epoch", sending.m_holder.m_epoch },
           { "confirmed_final", sending.m_confirmedFinal },
           { "decided_through", sending.m_decidedThrough } };
}

constexpr std::string_view kDependencies[] = { gossip::kModuleName,
                                               http::kModuleName,
                                               objectstore::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kDependencies,
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = Drain,
  .m_dump = Dump,
} };

} // namespace

} // namespace heatherdeal::usage
