#include "rollout/rolloutmodule.h"

#include "configuration/configurationmodule.h"
#include "gossip/gossipmodule.h"
#include "http/httpmodule.h"
#include "kernel/plugin.h"
#include "lease/leasesettings.h"
#include "objectstore/objectstoremodule.h"
#include "reports/reportsmodule.h"
#include "rollout/internal/shardmanager.h"

namespace heatherdeal::rollout {

namespace {

constexpr int64_t kMaxDrainMilliseconds = 3'600'000;

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  RolloutSettings settings;
  settings.m_leasePolicy = lease::ParseLeasePolicy(aReader);
  settings.m_drainTimeout = aReader.MillisecondsOr(
    "drain_time_ms", { 0, kMaxDrainMilliseconds }, settings.m_drainTimeout);
  return settings;
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  auto shardManager = std::make_shared<ShardManager>(
    aContext, std::any_cast<const RolloutSettings&>(aSettings));
  aContext.Provide(shardManager);
  shardManager->Start();
  return absl::OkStatus();
}

void
Drain(kernel::Context& aContext)
{
  aContext.Get<ShardManager>()->StartDrain();
}

boost::json::value
Dump(kernel::Context& aContext)
{
  return aContext.Get<ShardManager>()->Dump();
}

constexpr std::string_view kDependencies[] = { configuration::kModuleName,
                                               gossip::kModuleName,
                                               http::kModuleName,
                                               objectstore::kModuleName,
                                               reports::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kDependencies,
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = Drain,
  .m_dump = Dump,
} };

} // namespace

} // namespace heatherdeal::rollout
