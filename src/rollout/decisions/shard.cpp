#include "rollout/shard.h"

#include <algorithm>

#include "core/overloaded.h"
#include "rollout/decisions/admission.h"
#include "rollout/decisions/engines.h"
#include "rollout/decisions/scoring.h"
#include "rollout/decisions/staleness.h"
#include "rollout/decisions/stragglers.h"
#include "rollout/decisions/streams.h"

namespace heatherdeal::rollout {

namespace {

using Effects = std::vector<ShardEffect>;

delivery::DeliveryOrder
SelectDeliveryOrder(const StragglerPolicy& aPolicy)
{
  return std::visit(
    core::Overloaded{ [](const WaitForAll&) -> delivery::DeliveryOrder {
                       return delivery::InOrderDelivery{};
                     },
                      [](const auto&) -> delivery::DeliveryOrder {
                        return delivery::OldestFirstDelivery{};
                      } },
    aPolicy);
}

void
CancelAndDropGroup(ShardState& aState,
                   core::GroupOrdinal aOrdinal,
                   GroupProgress& aGroup,
                   Effects& aEffects)
{
  for (uint32_t member = 0; member < aGroup.m_samples.size(); ++member) {
    CancelSampleStream(
      aState, { aOrdinal, member }, aGroup.m_samples[member], aEffects);
  }
  aEffects.push_back(DropGroup{ aOrdinal });
}

/// Drops the groups that the trainer's cursor lists as done, although this
/// owner has not delivered them.
void
DropDoneGroups(ShardState& aState, Effects& aEffects)
{
  const delivery::DoneSet& done = aState.m_delivery.m_cursor->m_done;
  for (auto it = aState.m_groups.begin(); it != aState.m_groups.end();) {
    if (!delivery::Contains(done, it->first)) {
      ++it;
      continue;
    }
    for (const SampleProgress& sample : it->second.m_samples) {
      aState.m_totals.m_wastedTokens += sample.m_tokens;
    }
    CancelAndDropGroup(aState, it->first, it->second, aEffects);
    it = aState.m_groups.erase(it);
  }
}

/// Forwards an effect that needs no change to the shard's own state.
template<typename Effect>
void
HandleDeliveryEffect(ShardState&, Effect& aEffect, Effects& aEffects)
{
  aEffects.push_back(std::move(aEffect));
}

void
HandleDeliveryEffect(ShardState& aState,
                     delivery::ReleaseGroup& aEffect,
                     Effects& aEffects)
{
  const auto found = aState.m_groups.find(aEffect.m_ordinal);
  if (found == aState.m_groups.end()) {
    return;
  }
  CancelAndDropGroup(aState, found->first, found->second, aEffects);
  aState.m_groups.erase(found);
}

void
HandleDeliveryEffect(ShardState& aState,
                     delivery::RegenerateGroup& aEffect,
                     Effects& aEffects)
{
  const auto found = aState.m_groups.find(aEffect.m_ordinal);
  if (found == aState.m_groups.end()) {
    return;
  }
  RestartStaleSamples(aState, found->first, found->second, aEffects);
}

void
HandleDeliveryEffect(ShardState& aState,
                     delivery::DoneSetChanged&,
                     Effects& aEffects)
{
  DropDoneGroups(aState, aEffects);
}

/// Applies an event to the delivery state and handles the resulting effects.
void
ApplyDeliveryEvent(ShardState& aState,
                   const delivery::DeliveryEvent& aEvent,
                   core::Instant aNow,
                   Effects& aEffects)
{
  std::vector<delivery::DeliveryEffect> effects;
  delivery::Apply(aState.m_delivery, aEvent, aNow, effects);
  for (delivery::DeliveryEffect& effect : effects) {
    std::visit(
      [&](auto& aConcreteEffect) {
        HandleDeliveryEffect(aState, aConcreteEffect, aEffects);
      },
      effect);
  }
}

void
UpdateDeliveryHold(ShardState& aState, core::Instant aNow, Effects& aEffects)
{
  const bool shouldHold = ShouldHoldDelivery(aState);
  if (shouldHold != aState.m_delivery.m_deliveryHeld) {
    ApplyDeliveryEvent(
      aState, delivery::DeliveryHoldChanged{ shouldHold }, aNow, aEffects);
  }
}

core::WeightVersion
FindOldestVersion(const GroupProgress& aGroup)
{
  core::WeightVersion oldest =
    core::OldestVersion(aGroup.m_samples.front().m_spans);
  for (const SampleProgress& sample : aGroup.m_samples) {
    oldest = std::min(oldest, core::OldestVersion(sample.m_spans));
  }
  return oldest;
}

/// Abandons a group with a sample that has reached the crash limit.
void
AbandonGroup(ShardState& aState,
             core::GroupOrdinal aOrdinal,
             GroupProgress& aGroup,
             core::Instant aNow,
             Effects& aEffects)
{
  for (uint32_t member = 0; member < aGroup.m_samples.size(); ++member) {
    CancelSampleStream(
      aState, { aOrdinal, member }, aGroup.m_samples[member], aEffects);
  }
  aGroup.m_stage = GroupStage::Abandoned;
  aState.m_totals.m_abandonedGroups += 1;
  ApplyDeliveryEvent(
    aState, delivery::GroupReady{ aOrdinal, {}, true }, aNow, aEffects);
}

void
HandleEvent(ShardState& aState,
            const EnginesReported& aEvent,
            core::Instant,
            Effects& aEffects)
{
  MergeEngineReport(aState, aEvent);
  RequeueSamplesOfLostEngines(aState, aEffects);
}

void
HandleEvent(ShardState& aState,
            const TokensArrived& aEvent,
            core::Instant aNow,
            Effects& aEffects)
{
  AppendSampleTokens(aState, aEvent, aNow, aEffects);
}

void
HandleEvent(ShardState& aState,
            const StreamEnded& aEvent,
            core::Instant aNow,
            Effects& aEffects)
{
  GroupProgress* group = FinishSample(aState, aEvent, aNow, aEffects);
  if (group != nullptr) {
    StartScoringIfFinished(
      aState, aEvent.m_sample.m_group, *group, aNow, aEffects);
  }
}

void
HandleEvent(ShardState& aState,
            const StreamFailed& aEvent,
            core::Instant aNow,
            Effects& aEffects)
{
  GroupProgress* groupToAbandon = RequeueFailedSample(aState, aEvent, aNow);
  if (groupToAbandon != nullptr) {
    AbandonGroup(
      aState, aEvent.m_sample.m_group, *groupToAbandon, aNow, aEffects);
  }
}

void
HandleEvent(ShardState& aState,
            const GroupScored& aEvent,
            core::Instant aNow,
            Effects& aEffects)
{
  GroupProgress* group =
    FindGroupInScoring(aState, aEvent.m_group, aEvent.m_attempt);
  if (group == nullptr) {
    return;
  }
  if (aEvent.m_scoreCount != group->m_samples.size()) {
    RecordScoringFailure(aState, *group, aNow);
    return;
  }
  group->m_stage = GroupStage::Ready;
  group->m_scoringInFlight = false;
  ApplyDeliveryEvent(
    aState,
    delivery::GroupReady{ aEvent.m_group, FindOldestVersion(*group) },
    aNow,
    aEffects);
}

void
HandleEvent(ShardState& aState,
            const ScoringFailed& aEvent,
            core::Instant aNow,
            Effects&)
{
  GroupProgress* group =
    FindGroupInScoring(aState, aEvent.m_group, aEvent.m_attempt);
  if (group != nullptr) {
    RecordScoringFailure(aState, *group, aNow);
  }
}

void
HandleEvent(ShardState& aState,
            const TimerExpired&,
            core::Instant aNow,
            Effects& aEffects)
{
  RequeueStalledSamples(aState, aNow, aEffects);
  RetryScoring(aState, aNow, aEffects);
  ApplyDeliveryEvent(aState, delivery::DeadlineCheck{}, aNow, aEffects);
}

void
HandleEvent(ShardState& aState, const DrainStarted&, core::Instant, Effects&)
{
  aState.m_draining = true;
}

void
HandleEvent(ShardState& aState,
            const delivery::NewestVersionSeen& aEvent,
            core::Instant aNow,
            Effects& aEffects)
{
  if (aEvent.m_version > aState.m_delivery.m_newestVersion) {
    aState.m_requireNewestUntil = aNow + aState.m_policy.m_newestWeightsTimeout;
  }
  ApplyDeliveryEvent(aState, aEvent, aNow, aEffects);
  for (auto& [ordinal, group] : aState.m_groups) {
    if (IsInProgress(group)) {
      RestartStaleSamples(aState, ordinal, group, aEffects);
    }
  }
}

void
HandleEvent(ShardState& aState,
            const delivery::PullArrived& aEvent,
            core::Instant aNow,
            Effects& aEffects)
{
  // The version in the pull must be known before the batch for the pull is
  // checked for staleness.
  const core::WeightVersion version = aEvent.m_cursor.m_publishedVersion;
  if (version > aState.m_delivery.m_newestVersion) {
    HandleEvent(aState, delivery::NewestVersionSeen{ version }, aNow, aEffects);
    UpdateDeliveryHold(aState, aNow, aEffects);
  }
  ApplyDeliveryEvent(aState, aEvent, aNow, aEffects);
}

void
HandleEvent(ShardState& aState,
            const delivery::OwnershipEnded& aEvent,
            core::Instant aNow,
            Effects& aEffects)
{
  ApplyDeliveryEvent(aState, aEvent, aNow, aEffects);
  for (auto& [ordinal, group] : aState.m_groups) {
    for (const SampleProgress& sample : group.m_samples) {
      aState.m_totals.m_wastedTokens += sample.m_tokens;
    }
    CancelAndDropGroup(aState, ordinal, group, aEffects);
  }
  aState.m_groups.clear();
  aState.m_delivery.m_readyGroups.clear();
  aState.m_draining = true;
}

/// Starts as many new groups as the admission policy allows.
void
StartGroups(ShardState& aState)
{
  // Until the first pull arrives, it is unknown which groups are done.
  if (aState.m_draining || !aState.m_delivery.m_cursor) {
    return;
  }
  const size_t maxGroups = ComputeMaxConcurrentGroups(aState);
  const core::GroupOrdinal highestStarted =
    aState.m_groups.empty() ? 0 : aState.m_groups.rbegin()->first;
  core::GroupOrdinal nextGroup = FindFirstUnstartedGroup(
    aState, aState.m_delivery.m_cursor->m_done.m_lowWatermark);
  // A trainer that was restored from a checkpoint may need groups below those
  // in progress. They start regardless of the limit, because in-order delivery
  // waits for them.
  while (aState.m_groups.size() < maxGroups || nextGroup < highestStarted) {
    aState.m_groups[nextGroup].m_samples.resize(
      aState.m_policy.m_samplesPerGroup);
    nextGroup = FindFirstUnstartedGroup(aState, nextGroup);
  }
}

} // namespace

ShardState
MakeShardState(const ShardPolicy& aPolicy,
               const core::ShardId& aShard,
               uint64_t aEpoch)
{
  ShardState state;
  state.m_policy = aPolicy;
  state.m_delivery.m_policy = { aPolicy.m_groupsPerBatch,
                                aPolicy.m_stalenessBound,
                                aPolicy.m_samplesPerGroup,
                                SelectDeliveryOrder(
                                  aPolicy.m_stragglerPolicy) };
  state.m_delivery.m_shard = aShard;
  state.m_delivery.m_epoch = aEpoch;
  return state;
}

DeadlineUpdate
Apply(ShardState& aState,
      const ShardEvent& aEvent,
      core::Instant aNow,
      std::vector<ShardEffect>& aEffects)
{
  if (const auto* tokens = std::get_if<TokensArrived>(&aEvent)) {
    // Tokens are by far the most frequent event and rarely require any of the
    // steps below.
    const SampleProgress* sample =
      AppendSampleTokens(aState, *tokens, aNow, aEffects);
    const bool needsNoFurtherSteps =
      sample != nullptr && !IsAtStalenessBound(aState, *sample);
    if (needsNoFurtherSteps) {
      return DeadlineUpdate::NotNeeded;
    }
  } else {
    std::visit(
      [&](const auto& aConcreteEvent) {
        HandleEvent(aState, aConcreteEvent, aNow, aEffects);
      },
      aEvent);
  }
  UpdateDeliveryHold(aState, aNow, aEffects);
  StartGroups(aState);
  MigrateStragglers(aState, aNow, aEffects);
  StartQueuedSamples(aState, aNow, aEffects);
  return DeadlineUpdate::Needed;
}

std::optional<core::Instant>
NextDeadline(const ShardState& aState, core::Instant aNow)
{
  std::optional<core::Instant> earliest =
    delivery::NextDeadline(aState.m_delivery);
  const auto considerDeadline = [&earliest](core::Instant aDeadline) {
    earliest = earliest ? std::min(*earliest, aDeadline) : aDeadline;
  };
  bool hasQueuedSamples = false;
  for (const auto& [ordinal, group] : aState.m_groups) {
    if (group.m_stage == GroupStage::Scoring) {
      considerDeadline(group.m_scoringDeadline);
    }
    for (const SampleProgress& sample : group.m_samples) {
      if (sample.m_stage == SampleStage::Running) {
        considerDeadline(sample.m_progressDeadline);
      }
      hasQueuedSamples =
        hasQueuedSamples || (sample.m_stage == SampleStage::Queued &&
                             group.m_stage == GroupStage::Generating);
    }
  }
  if (hasQueuedSamples && aState.m_requireNewestUntil > aNow) {
    considerDeadline(aState.m_requireNewestUntil);
  }
  if (hasQueuedSamples) {
    for (const auto& [id, engine] : aState.m_engines) {
      // A time that has passed was already handled: queued samples were
      // offered to the engine then.
      if (engine.m_suspectUntil > aNow) {
        considerDeadline(engine.m_suspectUntil);
      }
    }
  }
  return earliest;
}

bool
HasUnfinishedGroups(const ShardState& aState)
{
  return !aState.m_groups.empty();
}

} // namespace heatherdeal::rollout
