#include "rollout/decisions/engines.h"

#include <algorithm>
#include <tuple>

#include "rollout/decisions/admission.h"

namespace heatherdeal::rollout {

namespace {

constexpr uint32_t kMaxBackoffDoublings = 5;

bool
CanAcceptStream(const ShardState& aState,
                const EngineState& aEngine,
                core::Instant aNow)
{
  return !aEngine.m_report.m_leaving && aEngine.m_suspectUntil <= aNow &&
         aEngine.m_runningStreams < aEngine.m_report.m_slots &&
         HasFreshEnoughWeights(aState, aEngine);
}

bool
CanContinueSample(const SampleProgress& aSample, const EngineState& aEngine)
{
  return aSample.m_tokens == 0 ||
         aSample.m_software == aEngine.m_report.m_software;
}

bool
IsPreferredEngine(const EngineState& aLeft, const EngineState& aRight)
{
  if (aLeft.m_report.m_version != aRight.m_report.m_version) {
    return aLeft.m_report.m_version > aRight.m_report.m_version;
  }
  return ComputeLoadPercent(aLeft) < ComputeLoadPercent(aRight);
}

} // namespace

uint32_t
ComputeLoadPercent(const EngineState& aEngine)
{
  constexpr uint32_t kFullLoadPercent = 100;
  if (aEngine.m_report.m_slots == 0) {
    return kFullLoadPercent;
  }
  return kFullLoadPercent * aEngine.m_runningStreams / aEngine.m_report.m_slots;
}

EngineState*
ChooseEngine(ShardState& aState,
             const SampleProgress& aSample,
             RequiredWeights aRequiredWeights,
             core::Instant aNow)
{
  // A sample that starts on old weights just before the engine loads new ones
  // is a whole version closer to the staleness bound.
  const bool requireNewest = aRequiredWeights == RequiredWeights::Newest &&
                             aNow < aState.m_requireNewestUntil;
  const core::WeightVersion minVersion =
    requireNewest ? aState.m_delivery.m_newestVersion : core::WeightVersion{};
  EngineState* bestEngine = nullptr;
  for (auto& [id, engine] : aState.m_engines) {
    if (CanAcceptStream(aState, engine, aNow) &&
        CanContinueSample(aSample, engine) &&
        engine.m_report.m_version >= minVersion &&
        (bestEngine == nullptr || IsPreferredEngine(engine, *bestEngine))) {
      bestEngine = &engine;
    }
  }
  return bestEngine;
}

bool
IsSoftwareServed(const ShardState& aState, const SampleProgress& aSample)
{
  return std::ranges::any_of(aState.m_engines, [&](const auto& aEngine) {
    return !aEngine.second.m_report.m_leaving &&
           CanContinueSample(aSample, aEngine.second);
  });
}

void
BackOffFromEngine(ShardState& aState, EngineState& aEngine, core::Instant aNow)
{
  const uint32_t doublings =
    std::min(aEngine.m_consecutiveFailures, kMaxBackoffDoublings);
  aEngine.m_consecutiveFailures += 1;
  aEngine.m_suspectUntil =
    aNow + aState.m_policy.m_initialEngineBackoff * (1U << doublings);
}

void
MergeEngineReport(ShardState& aState, const EnginesReported& aReported)
{
  std::map<core::UpstreamId, EngineState> updatedEngines;
  for (const EngineReport& report : aReported.m_engines) {
    EngineState& engineState = updatedEngines[report.m_engine];
    const auto previous = aState.m_engines.find(report.m_engine);
    if (previous != aState.m_engines.end()) {
      engineState = std::move(previous->second);
    }
    engineState.m_report = report;
  }
  aState.m_engines = std::move(updatedEngines);
}

} // namespace heatherdeal::rollout
