#include "rollout/decisions/scoring.h"

#include <algorithm>

namespace heatherdeal::rollout {

namespace {

void
StartScoring(ShardState& aState,
             core::GroupOrdinal aOrdinal,
             GroupProgress& aGroup,
             core::Instant aNow,
             std::vector<ShardEffect>& aEffects)
{
  aGroup.m_stage = GroupStage::Scoring;
  aGroup.m_scoringInFlight = true;
  aGroup.m_scoringAttempt += 1;
  aGroup.m_scoringDeadline = aNow + aState.m_policy.m_scoringTimeout;
  aEffects.push_back(
    ScoreGroup{ aOrdinal, aGroup.m_scoringAttempt, aGroup.m_scoringDeadline });
}

} // namespace

void
StartScoringIfFinished(ShardState& aState,
                       core::GroupOrdinal aOrdinal,
                       GroupProgress& aGroup,
                       core::Instant aNow,
                       std::vector<ShardEffect>& aEffects)
{
  const bool allFinished =
    std::ranges::all_of(aGroup.m_samples, [](const SampleProgress& aSample) {
      return aSample.m_stage == SampleStage::Finished;
    });
  if (allFinished && aGroup.m_stage == GroupStage::Generating) {
    StartScoring(aState, aOrdinal, aGroup, aNow, aEffects);
  }
}

void
RecordScoringFailure(ShardState& aState,
                     GroupProgress& aGroup,
                     core::Instant aNow)
{
  aState.m_totals.m_scoringFailures += 1;
  aGroup.m_scoringInFlight = false;
  aGroup.m_scoringDeadline = aNow + aState.m_policy.m_scoringRetryDelay;
}

GroupProgress*
FindGroupInScoring(ShardState& aState,
                   core::GroupOrdinal aOrdinal,
                   uint32_t aAttempt)
{
  const auto found = aState.m_groups.find(aOrdinal);
  if (found == aState.m_groups.end() ||
      found->second.m_stage != GroupStage::Scoring ||
      !found->second.m_scoringInFlight ||
      found->second.m_scoringAttempt != aAttempt) {
    aState.m_totals.m_outdatedEvents += 1;
    return nullptr;
  }
  return &found->second;
}

void
RetryScoring(ShardState& aState,
             core::Instant aNow,
             std::vector<ShardEffect>& aEffects)
{
  for (auto& [ordinal, group] : aState.m_groups) {
    if (group.m_stage != GroupStage::Scoring ||
        group.m_scoringDeadline > aNow) {
      continue;
    }
    if (group.m_scoringInFlight) {
      RecordScoringFailure(aState, group, aNow);
      continue;
    }
    StartScoring(aState, ordinal, group, aNow, aEffects);
  }
}

} // namespace heatherdeal::rollout
