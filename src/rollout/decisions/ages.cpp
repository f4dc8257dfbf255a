#include "rollout/decisions/ages.h"

#include <algorithm>

#include "rollout/decisions/streams.h"

namespace heatherdeal::rollout {

void
RestartTooOld(ShardState& aState,
              core::GroupOrdinal aOrdinal,
              GroupProgress& aGroup,
              std::vector<ShardEffect>& aEffects)
{
  for (uint32_t member = 0; member < aGroup.m_samples.size(); ++member) {
    SampleProgress& sample = aGroup.m_samples[member];
    const bool tooOld =
      !sample.m_spans.empty() &&
      core::VersionsBehind(core::OldestVersion(sample.m_spans),
                           aState.m_delivery.m_newest) >
        aState.m_policy.m_stalenessBound;
    if (!tooOld) {
      continue;
    }
    aState.m_totals.m_tooOld += 1;
    Restart(aState, { aOrdinal, member }, sample, aEffects);
    aGroup.m_stage = GroupStage::Generating;
    aGroup.m_scoringRuns = false;
    aGroup.m_scoringAttempt += 1;
  }
}

bool
IsAtBound(const ShardState& aState, const SampleProgress& aSample)
{
  return !aSample.m_spans.empty() &&
         core::VersionsBehind(core::OldestVersion(aSample.m_spans),
                              aState.m_delivery.m_newest) >=
           aState.m_policy.m_stalenessBound;
}

bool
IsInWork(const GroupProgress& aGroup)
{
  return aGroup.m_stage == GroupStage::Generating ||
         aGroup.m_stage == GroupStage::Scoring;
}

bool
MustHold(const ShardState& aState)
{
  if (!std::holds_alternative<HoldBatch>(aState.m_policy.m_age)) {
    return false;
  }
  return std::ranges::any_of(aState.m_groups, [&](const auto& aEntry) {
    return IsInWork(aEntry.second) &&
           std::ranges::any_of(aEntry.second.m_samples,
                               [&](const SampleProgress& aSample) {
                                 return IsAtBound(aState, aSample);
                               });
  });
}

} // namespace heatherdeal::rollout
