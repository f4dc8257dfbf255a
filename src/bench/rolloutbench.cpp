#include "bench/rolloutbench.h"

#include <span>
#include <string_view>
#include <vector>

#include "boost/json/serialize.hpp"
#include "boost/json/value.hpp"

#include "virtualworld/faults.h"

namespace heatherdeal::bench {

namespace {

using std::chrono::seconds;
using namespace virtualworld;

constexpr core::Duration kDownTime = seconds(20);
constexpr core::Duration kLimit = seconds(24 * 3600);
constexpr core::Duration kCrashStep = seconds(60);

/// A deployment of today's size.
struct Deployment
{
  std::string_view m_name;
  uint32_t m_engines = 0;
};

/// A way to run a shard.
struct Contender
{
  std::string_view m_name;
  rollout::StragglerPolicy m_straggler;
  rollout::AdmissionPolicy m_admission;
  rollout::StalenessPolicy m_age;
};

std::vector<Contender>
Contenders()
{
  using namespace rollout;
  return {
    { "baseline-synchronous",
      WaitForAll{},
      SynchronousAdmission{},
      HoldBatch{} },
    { "baseline-first-come",
      OutOfOrder{ 0 },
      UnlimitedAdmission{},
      RegenerateSamples{} },
    { "wait-for-all-ahead-2",
      WaitForAll{},
      StalenessAdmission{ 2 },
      HoldBatch{} },
    { "out-of-order-ahead-1",
      OutOfOrder{ 2 },
      StalenessAdmission{ 1 },
      HoldBatch{} },
    { "out-of-order-ahead-1.5",
      OutOfOrder{ 2 },
      StalenessAdmission{ 1.5 },
      HoldBatch{} },
    { "out-of-order-ahead-2",
      OutOfOrder{ 2 },
      StalenessAdmission{ 2 },
      HoldBatch{} },
    { "out-of-order-ahead-2-make-again",
      OutOfOrder{ 2 },
      StalenessAdmission{ 2 },
      RegenerateSamples{} },
    { "migrate-late-ahead-1.5",
      MigrateLate{ 2, 4, 20 },
      StalenessAdmission{ 1.5 },
      HoldBatch{} },
    { "migrate-late-ahead-2",
      MigrateLate{ 2, 4, 20 },
      StalenessAdmission{ 2 },
      HoldBatch{} },
  };
}

SimulationSettings
SettingsOf(const Deployment& aDeployment, const Contender& aContender)
{
  SimulationSettings settings;
  settings.m_seed = 20261204;
  settings.m_engines = aDeployment.m_engines;
  settings.m_slotsPerEngine = 32;
  settings.m_lengths.m_medianTokens = 400.0;
  settings.m_trainTime = seconds(60);
  settings.m_loadTime = seconds(5);
  settings.m_shard.m_groupsPerBatch = 16;
  settings.m_shard.m_samplesPerGroup = 8;
  settings.m_shard.m_stalenessBound = 2;
  settings.m_shard.m_maxTokens = 100'000;
  settings.m_shard.m_stragglerPolicy = aContender.m_straggler;
  settings.m_shard.m_admissionPolicy = aContender.m_admission;
  settings.m_shard.m_stalenessPolicy = aContender.m_age;
  settings.m_wave.m_floorPercent = 50;
  settings.m_wave.m_concurrentLoads = 4;
  return settings;
}

/// Runs until the trainer has its batches; engines crash in turn.
SimulationStatistics
RunOne(const SimulationSettings& aSettings,
       uint32_t aCrashes,
       uint32_t aBatches)
{
  Simulation world(aSettings);
  world.Start();
  core::Instant end{};
  uint32_t engine = 0;
  while (world.Trainer().Record().m_batches < aBatches &&
         end.time_since_epoch() < kLimit) {
    for (uint32_t i = 0; i < aCrashes; ++i) {
      const core::Duration at = kCrashStep * i / aCrashes;
      const TimedFault fault{ at, CrashEngine{ engine++, kDownTime } };
      ScheduleFaults(world, std::span(&fault, 1));
    }
    end += kCrashStep;
    world.Queue().RunUntil(end);
  }
  return world.ComputeStatistics();
}

boost::json::value
ToValue(const Deployment& aDeployment,
        const Contender& aContender,
        uint32_t aCrashes,
        const SimulationStatistics& aFigures)
{
  return { { "deployment", std::string(aDeployment.m_name) },
           { "policy", std::string(aContender.m_name) },
           { "crashes_a_minute", aCrashes },
           { "batches", aFigures.m_batches },
           { "samples", aFigures.m_samples },
           { "idle_share", aFigures.m_idleShare },
           { "staleness_mean", aFigures.m_stalenessMean },
           { "staleness_p99", aFigures.m_stalenessP99 },
           { "staleness_max", aFigures.m_stalenessMax },
           { "wasted_share", aFigures.m_wastedShare },
           { "length_bias_ks", aFigures.m_lengthBias } };
}

} // namespace

std::string
RunRolloutBench(uint32_t aBatches)
{
  const Deployment deployments[] = { { "request-line", 8 },
                                     { "gallery-rota", 9 } };
  std::string lines;
  for (const Deployment& deployment : deployments) {
    for (const uint32_t crashes : { 0U, 1U, 3U }) {
      for (const Contender& contender : Contenders()) {
        const SimulationStatistics figures =
          RunOne(SettingsOf(deployment, contender), crashes, aBatches);
        lines += boost::json::serialize(
                   ToValue(deployment, contender, crashes, figures)) +
                 "\n";
      }
    }
  }
  return lines;
}

} // namespace heatherdeal::bench
