#include "rollout/decisions/staleness.h"

#include <algorithm>

#include "rollout/decisions/streams.h"

namespace heatherdeal::rollout {

void
RestartStaleSamples(ShardState& aState,
                    core::GroupOrdinal aOrdinal,
                    GroupProgress& aGroup,
                    std::vector<ShardEffect>& aEffects)
{
  for (uint32_t member = 0; member < aGroup.m_samples.size(); ++member) {
    SampleProgress& sample = aGroup.m_samples[member];
    const bool isStale =
      !sample.m_spans.empty() &&
      core::VersionsBehind(core::OldestVersion(sample.m_spans),
                           aState.m_delivery.m_newestVersion) >
        aState.m_policy.m_stalenessBound;
    if (!isStale) {
      continue;
    }
    aState.m_totals.m_staleSamples += 1;
    RestartSample(aState, { aOrdinal, member }, sample, aEffects);
    aGroup.m_stage = GroupStage::Generating;
    aGroup.m_scoringInFlight = false;
    aGroup.m_scoringAttempt += 1;
  }
}

bool
IsAtStalenessBound(const ShardState& aState, const SampleProgress& aSample)
{
  return !aSample.m_spans.empty() &&
         core::VersionsBehind(core::OldestVersion(aSample.m_spans),
                              aState.m_delivery.m_newestVersion) >=
           aState.m_policy.m_stalenessBound;
}

bool
IsInProgress(const GroupProgress& aGroup)
{
  return aGroup.m_stage == GroupStage::Generating ||
         aGroup.m_stage == GroupStage::Scoring;
}

bool
ShouldHoldDelivery(const ShardState& aState)
{
  if (!std::holds_alternative<HoldBatch>(aState.m_policy.m_stalenessPolicy)) {
    return false;
  }
  return std::ranges::any_of(aState.m_groups, [&](const auto& aEntry) {
    return IsInProgress(aEntry.second) &&
           std::ranges::any_of(aEntry.second.m_samples,
                               [&](const SampleProgress& aSample) {
                                 return IsAtStalenessBound(aState, aSample);
                               });
  });
}

} // namespace heatherdeal::rollout
