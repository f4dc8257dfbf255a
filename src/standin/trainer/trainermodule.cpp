#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"

#include "http/httpmodule.h"
#include "kernel/plugin.h"
#include "standin/endpoints.h"
#include "standin/trainer/trainer.h"

namespace heatherdeal::standin {

namespace {

constexpr std::string_view kModuleName = "trainer";

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  const kernel::Range count{ 1, 1'000'000 };
  TrainerSettings settings;
  settings.m_enabled = aReader.FlagOr("enabled", false);
  settings.m_entryHosts = ParseEndpoints(aReader, "entries");
  settings.m_storeEndpoints = ParseEndpoints(aReader, "store");
  settings.m_failureDomain = aReader.TextOr("failure_domain", "");
  settings.m_job = aReader.TextOr("job", "");
  settings.m_weightsName = aReader.TextOr("weights", "");
  settings.m_wantedGroups =
    static_cast<uint64_t>(aReader.IntegerOr("groups", count, 40));
  settings.m_batchesPerVersion =
    static_cast<uint32_t>(aReader.IntegerOr("batches_per_version", count, 1));
  settings.m_trainTime =
    aReader.MillisecondsOr("train_ms", count, settings.m_trainTime);
  Expectation& expectation = settings.m_expectation;
  expectation.m_samplesPerGroup =
    static_cast<uint32_t>(aReader.IntegerOr("samples_per_group", count, 4));
  expectation.m_stalenessBound =
    static_cast<uint64_t>(aReader.IntegerOr("staleness_bound", { 0, 1000 }, 2));
  expectation.m_maxTokens =
    static_cast<uint32_t>(aReader.IntegerOr("max_tokens", count, 4096));
  expectation.m_lengthModel.m_medianTokens =
    aReader.NumberOr("median_tokens", 1.0, 1e6, 60.0);
  return settings;
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  const auto& settings = std::any_cast<const TrainerSettings&>(aSettings);
  if (!settings.m_enabled) {
    return absl::OkStatus();
  }
  auto trainer = std::make_shared<Trainer>(aContext, settings);
  aContext.Get<http::Server>()->AddRoute(
    { "GET", "/seen", [trainer](http::Exchange& aExchange) {
       return trainer->HandleSeen(aExchange);
     } });
  boost::asio::co_spawn(
    aContext.Traffic().Loop(0),
    [trainer] { return trainer->PullUntilDone(); },
    boost::asio::detached);
  return absl::OkStatus();
}

constexpr std::string_view kDependencies[] = { http::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kDependencies,
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = nullptr,
  .m_dump = nullptr,
} };

} // namespace

} // namespace heatherdeal::standin
