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

constexpr core::Duration kEngineDownTime = seconds(20);
constexpr core::Duration kTimeLimit = seconds(24 * 3600);
constexpr core::Duration kCrashPeriod = seconds(60);

/// Holds the name of an example deployment and its number of engines today.
struct Deployment
{
  std::string_view m_name;
  uint32_t m_engines = 0;
};

/// Holds a combination of policies for a shard, and its name in the results.
struct PolicyCombination
{
  std::string_view m_name;
  rollout::StragglerPolicy m_straggler;
  rollout::AdmissionPolicy m_admission;
  rollout::StalenessPolicy m_staleness;
};

/// Returns the two baselines and the combinations compared with them.
std::vector<PolicyCombination>
MakePolicyCombinations()
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
MakeSimulationSettings(const Deployment& aDeployment,
                       const PolicyCombination& aPolicies)
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
  settings.m_shard.m_stragglerPolicy = aPolicies.m_straggler;
  settings.m_shard.m_admissionPolicy = aPolicies.m_admission;
  settings.m_shard.m_stalenessPolicy = aPolicies.m_staleness;
  settings.m_rollingUpdatePolicy.m_floorPercent = 50;
  settings.m_rollingUpdatePolicy.m_concurrentLoads = 4;
  return settings;
}

/// Runs a simulation until the trainer has aBatches batches or the time limit
/// is reached. Crashes the engines in turn, aCrashesPerMinute of them per
/// minute.
SimulationStatistics
RunSimulation(const SimulationSettings& aSettings,
              uint32_t aCrashesPerMinute,
              uint32_t aBatches)
{
  Simulation simulation(aSettings);
  simulation.Start();
  core::Instant runUntil{};
  uint32_t engine = 0;
  while (simulation.Trainer().Record().m_batches < aBatches &&
         runUntil.time_since_epoch() < kTimeLimit) {
    for (uint32_t i = 0; i < aCrashesPerMinute; ++i) {
      const core::Duration at = kCrashPeriod * i / aCrashesPerMinute;
      const TimedFault fault{ at, CrashEngine{ engine++, kEngineDownTime } };
      ScheduleFaults(simulation, std::span(&fault, 1));
    }
    runUntil += kCrashPeriod;
    simulation.Queue().RunUntil(runUntil);
  }
  return simulation.ComputeStatistics();
}

boost::json::value
ToJsonValue(const Deployment& aDeployment,
            const PolicyCombination& aPolicies,
            uint32_t aCrashesPerMinute,
            const SimulationStatistics& aStatistics)
{
  return { { "deployment", std::string(aDeployment.m_name) },
           { "policy", std::string(aPolicies.m_name) },
           { "crashes_a_minute", aCrashesPerMinute },
           { "batches", aStatistics.m_batches },
           { "samples", aStatistics.m_samples },
           { "idle_share", aStatistics.m_idleShare },
           { "staleness_mean", aStatistics.m_stalenessMean },
           { "staleness_p99", aStatistics.m_stalenessP99 },
           { "staleness_max", aStatistics.m_stalenessMax },
           { "wasted_share", aStatistics.m_wastedShare },
           { "length_bias_ks", aStatistics.m_lengthBias } };
}

} // namespace

std::string
RunRolloutBench(uint32_t aBatches)
{
  const Deployment deployments[] = { { "request-line", 8 },
                                     { "gallery-rota", 9 } };
  std::string jsonLines;
  for (const Deployment& deployment : deployments) {
    for (const uint32_t crashesPerMinute : { 0U, 1U, 3U }) {
      for (const PolicyCombination& policies : MakePolicyCombinations()) {
        const SimulationStatistics statistics =
          RunSimulation(MakeSimulationSettings(deployment, policies),
                        crashesPerMinute,
                        aBatches);
        jsonLines += boost::json::serialize(ToJsonValue(
                       deployment, policies, crashesPerMinute, statistics)) +
                     "\n";
      }
    }
  }
  return jsonLines;
}

} // namespace heatherdeal::bench
