#include "batches/batchesmodule.h"

#include "batches/internal/retirement.h"
#include "configuration/configurationmodule.h"
#include "gossip/gossipmodule.h"
#include "kernel/plugin.h"
#include "objectstore/objectstoremodule.h"
#include "relay/relaymodule.h"

namespace heatherdeal::batches {

namespace {

constexpr kernel::Range kDurationRange{ 0, 24 * 3600 * 1000 };

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  BatchesSettings settings;
  settings.m_enabled = aReader.FlagOr("enabled", false);
  settings.m_retention =
    aReader.MillisecondsOr("keep_ms", kDurationRange, settings.m_retention);
  settings.m_drainTime = aReader.MillisecondsOr(
    "drain_time_ms", kDurationRange, settings.m_drainTime);
  return settings;
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  const auto& settings = std::any_cast<const BatchesSettings&>(aSettings);
  auto batches = std::make_shared<Batches>(aContext, settings);
  aContext.Provide(batches);
  batches->Start();
  if (settings.m_enabled) {
    auto retirement = std::make_shared<Retirement>(aContext, batches);
    aContext.Provide(retirement);
    retirement->Start();
  }
  return absl::OkStatus();
}

void
Drain(kernel::Context& aContext)
{
  aContext.Get<Batches>()->StartDraining();
}

boost::json::value
Dump(kernel::Context& aContext)
{
  const auto batches = aContext.Get<Batches>();
  return { { "known", batches->KnownCount() },
           { "owned", batches->OwnedCount() } };
}

constexpr std::string_view kDependencies[] = { configuration::kModuleName,
                                               gossip::kModuleName,
                                               objectstore::kModuleName,
                                               relay::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kDependencies,
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = Drain,
  .m_dump = Dump,
} };

} // namespace

} // namespace heatherdeal::batches
