#include "rollout/decisions/engines.h"

#include <algorithm>
#include <tuple>

#include "rollout/decisions/admission.h"

namespace heatherdeal::rollout {

namespace {

constexpr uint32_t kMaxBackoffDoublings = 5;

bool
HasRoom(const ShardState& aState, const EngineView& aEngine, core::Instant aNow)
{
  return !aEngine.m_report.m_leaving && aEngine.m_suspectUntil <= aNow &&
         aEngine.m_running < aEngine.m_report.m_slots &&
         IsFreshEnough(aState, aEngine);
}

bool
IsBetter(const EngineView& aLeft, const EngineView& aRight)
{
  if (aLeft.m_report.m_version != aRight.m_report.m_version) {
    return aLeft.m_report.m_version > aRight.m_report.m_version;
  }
  return LoadPercent(aLeft) < LoadPercent(aRight);
}

} // namespace

uint32_t
LoadPercent(const EngineView& aEngine)
{
  constexpr uint32_t kFull = 100;
  if (aEngine.m_report.m_slots == 0) {
    return kFull;
  }
  return kFull * aEngine.m_running / aEngine.m_report.m_slots;
}

EngineView*
ChooseEngine(ShardState& aState, Freshness aFreshness, core::Instant aNow)
{
  // A sample that starts on old weights just before the engine loads new ones
  // is a whole version closer to the staleness bound.
  const bool onlyNewest =
    aFreshness == Freshness::Newest && aNow < aState.m_freshUntil;
  const core::WeightVersion least =
    onlyNewest ? aState.m_delivery.m_newest : core::WeightVersion{};
  EngineView* best = nullptr;
  for (auto& [id, engine] : aState.m_engines) {
    if (HasRoom(aState, engine, aNow) && engine.m_report.m_version >= least &&
        (best == nullptr || IsBetter(engine, *best))) {
      best = &engine;
    }
  }
  return best;
}

void
Suspect(ShardState& aState, EngineView& aEngine, core::Instant aNow)
{
  const uint32_t doublings = std::min(aEngine.m_failures, kMaxBackoffDoublings);
  aEngine.m_failures += 1;
  aEngine.m_suspectUntil =
    aNow + aState.m_policy.m_suspectTime * (1U << doublings);
}

void
Merge(ShardState& aState, const EnginesReported& aReported)
{
  std::map<core::UpstreamId, EngineView> merged;
  for (const EngineReport& report : aReported.m_engines) {
    EngineView& view = merged[report.m_engine];
    const auto known = aState.m_engines.find(report.m_engine);
    if (known != aState.m_engines.end()) {
      view = std::move(known->second);
    }
    view.m_report = report;
  }
  aState.m_engines = std::move(merged);
}

} // namespace heatherdeal::rollout
