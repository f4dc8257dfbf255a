#include "rollout/rolloutmodule.h"

#include "configuration/configurationmodule.h"
#include "gossip/gossipmodule.h"
#include "http/httpmodule.h"
#include "kernel/plugin.h"
#include "lease/leasesettings.h"
#include "objectstore/objectstoremodule.h"
#include "reports/reportsmodule.h"
#include "rollout/internal/shards.h"

namespace heatherdeal::rollout {

namespace {

constexpr int64_t kMaxMilliseconds = 3'600'000;

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  RolloutSettings settings;
  settings.m_lease = lease::ParseLeasePolicy(aReader);
  settings.m_drainTime = aReader.MillisecondsOr(
    "drain_time_ms", { 0, kMaxMilliseconds }, settings.m_drainTime);
  return settings;
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  auto shards = std::make_shared<Shards>(
    aContext, std::any_cast<const RolloutSettings&>(aSettings));
  aContext.Provide(shards);
  shards->Start();
  return absl::OkStatus();
}

void
Drain(kernel::Context& aContext)
{
  aContext.Get<Shards>()->StartDrain();
}

boost::json::value
Dump(kernel::Context& aContext)
{
  return aContext.Get<Shards>()->Dump();
}

constexpr std::string_view kNeeds[] = { configuration::kModuleName,
                                        gossip::kModuleName,
                                        http::kModuleName,
                                        objectstore::kModuleName,
                                        reports::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kNeeds,
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = Drain,
  .m_dump = Dump,
} };

} // namespace

} // namespace heatherdeal::rollout
