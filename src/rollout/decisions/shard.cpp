#include "rollout/shard.h"

#include <algorithm>

#include "core/overloaded.h"
#include "rollout/decisions/admission.h"
#include "rollout/decisions/ages.h"
#include "rollout/decisions/engines.h"
#include "rollout/decisions/scoring.h"
#include "rollout/decisions/stragglers.h"
#include "rollout/decisions/streams.h"

namespace heatherdeal::rollout {

namespace {

using Effects = std::vector<ShardEffect>;

delivery::DeliveryOrder
OrderOf(const StragglerPolicy& aPolicy)
{
  return std::visit(
    core::Overloaded{ [](const WaitForAll&) -> delivery::DeliveryOrder {
                       return delivery::InOrder{};
                     },
                      [](const auto&) -> delivery::DeliveryOrder {
                        return delivery::AnyOrder{};
                      } },
    aPolicy);
}

void
DropWholeGroup(ShardState& aState,
               core::GroupOrdinal aOrdinal,
               GroupProgress& aGroup,
               Effects& aEffects)
{
  for (uint32_t member = 0; member < aGroup.m_samples.size(); ++member) {
    Stop(aState, { aOrdinal, member }, aGroup.m_samples[member], aEffects);
  }
  aEffects.push_back(DropGroup{ aOrdinal });
}

/// Drops the groups that the trainer's cursor lists as done, although this
/// owner has not delivered them.
void
DropHeldGroups(ShardState& aState, Effects& aEffects)
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
    DropWholeGroup(aState, it->first, it->second, aEffects);
    it = aState.m_groups.erase(it);
  }
}

/// Forwards an effect that needs no change to the shard's own state.
template<typename Effect>
void
Carry(ShardState&, Effect& aEffect, Effects& aEffects)
{
  aEffects.push_back(std::move(aEffect));
}

void
Carry(ShardState& aState, delivery::ReleaseGroup& aEffect, Effects& aEffects)
{
  const auto found = aState.m_groups.find(aEffect.m_ordinal);
  if (found == aState.m_groups.end()) {
    return;
  }
  DropWholeGroup(aState, found->first, found->second, aEffects);
  aState.m_groups.erase(found);
}

void
Carry(ShardState& aState, delivery::RegenerateGroup& aEffect, Effects& aEffects)
{
  const auto found = aState.m_groups.find(aEffect.m_ordinal);
  if (found == aState.m_groups.end()) {
    return;
  }
  RestartTooOld(aState, found->first, found->second, aEffects);
}

void
Carry(ShardState& aState, delivery::CursorReplaced&, Effects& aEffects)
{
  DropHeldGroups(aState, aEffects);
}

/// Applies an event to the delivery state and handles the resulting effects.
void
Deliver(ShardState& aState,
        const delivery::DeliveryEvent& aEvent,
        core::Instant aNow,
        Effects& aEffects)
{
  std::vector<delivery::DeliveryEffect> effects;
  delivery::Apply(aState.m_delivery, aEvent, aNow, effects);
  for (delivery::DeliveryEffect& effect : effects) {
    std::visit([&](auto& aTyped) { Carry(aState, aTyped, aEffects); }, effect);
  }
}

void
UpdateHold(ShardState& aState, core::Instant aNow, Effects& aEffects)
{
  const bool held = MustHold(aState);
  if (held != aState.m_delivery.m_held) {
    Deliver(aState, delivery::HoldChanged{ held }, aNow, aEffects);
  }
}

core::WeightVersion
OldestOf(const GroupProgress& aGroup)
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
Abandon(ShardState& aState,
        core::GroupOrdinal aOrdinal,
        GroupProgress& aGroup,
        core::Instant aNow,
        Effects& aEffects)
{
  for (uint32_t member = 0; member < aGroup.m_samples.size(); ++member) {
    Stop(aState, { aOrdinal, member }, aGroup.m_samples[member], aEffects);
  }
  aGroup.m_stage = GroupStage::Abandoned;
  aState.m_totals.m_abandoned += 1;
  Deliver(aState, delivery::GroupReady{ aOrdinal, {}, true }, aNow, aEffects);
}

void
On(ShardState& aState,
   const EnginesReported& aEvent,
   core::Instant,
   Effects& aEffects)
{
  Merge(aState, aEvent);
  RequeueLostEngines(aState, aEffects);
}

void
On(ShardState& aState,
   const TokensArrived& aEvent,
   core::Instant aNow,
   Effects& aEffects)
{
  AcceptTokens(aState, aEvent, aNow, aEffects);
}

void
On(ShardState& aState,
   const StreamEnded& aEvent,
   core::Instant aNow,
   Effects& aEffects)
{
  GroupProgress* group = EndStream(aState, aEvent, aNow, aEffects);
  if (group != nullptr) {
    ScoreIfWhole(aState, aEvent.m_sample.m_group, *group, aNow, aEffects);
  }
}

void
On(ShardState& aState,
   const StreamFailed& aEvent,
   core::Instant aNow,
   Effects& aEffects)
{
  GroupProgress* hopeless = FailStream(aState, aEvent, aNow);
  if (hopeless != nullptr) {
    Abandon(aState, aEvent.m_sample.m_group, *hopeless, aNow, aEffects);
  }
}

void
On(ShardState& aState,
   const GroupScored& aEvent,
   core::Instant aNow,
   Effects& aEffects)
{
  GroupProgress* group = FindScoring(aState, aEvent.m_group, aEvent.m_attempt);
  if (group == nullptr) {
    return;
  }
  if (aEvent.m_scores != group->m_samples.size()) {
    ScoringAttemptFailed(aState, *group, aNow);
    return;
  }
  group->m_stage = GroupStage::Ready;
  group->m_scoringRuns = false;
  Deliver(aState,
          delivery::GroupReady{ aEvent.m_group, OldestOf(*group) },
          aNow,
          aEffects);
}

void
On(ShardState& aState,
   const ScoringFailed& aEvent,
   core::Instant aNow,
   Effects&)
{
  GroupProgress* group = FindScoring(aState, aEvent.m_group, aEvent.m_attempt);
  if (group != nullptr) {
    ScoringAttemptFailed(aState, *group, aNow);
  }
}

void
On(ShardState& aState,
   const TimerExpired&,
   core::Instant aNow,
   Effects& aEffects)
{
  RequeueStalled(aState, aNow, aEffects);
  RetryScoring(aState, aNow, aEffects);
  Deliver(aState, delivery::DeadlineCheck{}, aNow, aEffects);
}

void
On(ShardState& aState, const DrainStarted&, core::Instant, Effects&)
{
  aState.m_draining = true;
}

void
On(ShardState& aState,
   const delivery::NewestVersionSeen& aEvent,
   core::Instant aNow,
   Effects& aEffects)
{
  if (aEvent.m_version > aState.m_delivery.m_newest) {
    aState.m_freshUntil = aNow + aState.m_policy.m_freshWait;
  }
  Deliver(aState, aEvent, aNow, aEffects);
  for (auto& [ordinal, group] : aState.m_groups) {
    if (IsInWork(group)) {
      RestartTooOld(aState, ordinal, group, aEffects);
    }
  }
}

void
On(ShardState& aState,
   const delivery::PullArrived& aEvent,
   core::Instant aNow,
   Effects& aEffects)
{
  // The version in the pull must be known before the batch for the pull is
  // checked for staleness.
  const core::WeightVersion version = aEvent.m_cursor.m_version;
  if (version > aState.m_delivery.m_newest) {
    On(aState, delivery::NewestVersionSeen{ version }, aNow, aEffects);
    UpdateHold(aState, aNow, aEffects);
  }
  Deliver(aState, aEvent, aNow, aEffects);
}

void
On(ShardState& aState,
   const delivery::OwnershipEnded& aEvent,
   core::Instant aNow,
   Effects& aEffects)
{
  Deliver(aState, aEvent, aNow, aEffects);
  for (auto& [ordinal, group] : aState.m_groups) {
    for (const SampleProgress& sample : group.m_samples) {
      aState.m_totals.m_wastedTokens += sample.m_tokens;
    }
    DropWholeGroup(aState, ordinal, group, aEffects);
  }
  aState.m_groups.clear();
  aState.m_delivery.m_ready.clear();
  aState.m_draining = true;
}

/// Starts as many new groups as the admission policy allows.
void
BeginGroups(ShardState& aState)
{
  // Until the first pull arrives, it is unknown which groups are done.
  if (aState.m_draining || !aState.m_delivery.m_cursor) {
    return;
  }
  const size_t allowed = GroupsAllowed(aState);
  const core::GroupOrdinal last =
    aState.m_groups.empty() ? 0 : aState.m_groups.rbegin()->first;
  core::GroupOrdinal next =
    NextGroup(aState, aState.m_delivery.m_cursor->m_done.m_low);
  // A trainer that was restored from a checkpoint may need groups below those
  // in progress. They start regardless of the limit, because in-order delivery
  // waits for them.
  while (aState.m_groups.size() < allowed || next < last) {
    aState.m_groups[next].m_samples.resize(aState.m_policy.m_samplesPerGroup);
    next = NextGroup(aState, next);
  }
}

} // namespace

ShardState
MakeShard(const ShardPolicy& aPolicy,
          const core::ShardId& aShard,
          uint64_t aEpoch)
{
  ShardState state;
  state.m_policy = aPolicy;
  state.m_delivery.m_policy = { aPolicy.m_groupsPerBatch,
                                aPolicy.m_stalenessBound,
                                aPolicy.m_samplesPerGroup,
                                OrderOf(aPolicy.m_straggler) };
  state.m_delivery.m_shard = aShard;
  state.m_delivery.m_epoch = aEpoch;
  return state;
}

Deadlines
Apply(ShardState& aState,
      const ShardEvent& aEvent,
      core::Instant aNow,
      std::vector<ShardEffect>& aEffects)
{
  if (const auto* tokens = std::get_if<TokensArrived>(&aEvent)) {
    // Tokens are by far the most frequent event and rarely require any of the
    // steps below.
    const SampleProgress* sample =
      AcceptTokens(aState, *tokens, aNow, aEffects);
    const bool quiet = sample != nullptr && !IsAtBound(aState, *sample);
    if (quiet) {
      return Deadlines::Kept;
    }
  } else {
    std::visit([&](const auto& aTyped) { On(aState, aTyped, aNow, aEffects); },
               aEvent);
  }
  UpdateHold(aState, aNow, aEffects);
  BeginGroups(aState);
  MigrateStragglers(aState, aNow, aEffects);
  StartQueued(aState, aNow, aEffects);
  return Deadlines::Changed;
}

std::optional<core::Instant>
NextDeadline(const ShardState& aState, core::Instant aNow)
{
  std::optional<core::Instant> next = delivery::NextDeadline(aState.m_delivery);
  const auto consider = [&next](core::Instant aDeadline) {
    next = next ? std::min(*next, aDeadline) : aDeadline;
  };
  bool queued = false;
  for (const auto& [ordinal, group] : aState.m_groups) {
    if (group.m_stage == GroupStage::Scoring) {
      consider(group.m_scoringDeadline);
    }
    for (const SampleProgress& sample : group.m_samples) {
      if (sample.m_stage == SampleStage::Running) {
        consider(sample.m_progressDeadline);
      }
      queued = queued || (sample.m_stage == SampleStage::Queued &&
                          group.m_stage == GroupStage::Generating);
    }
  }
  if (queued && aState.m_freshUntil > aNow) {
    consider(aState.m_freshUntil);
  }
  if (queued) {
    for (const auto& [id, engine] : aState.m_engines) {
      // A time that has passed was already handled: queued samples were
      // offered to the engine then.
      if (engine.m_suspectUntil > aNow) {
        consider(engine.m_suspectUntil);
      }
    }
  }
  return next;
}

bool
HasWork(const ShardState& aState)
{
  return !aState.m_groups.empty();
}

} // namespace heatherdeal::rollout
