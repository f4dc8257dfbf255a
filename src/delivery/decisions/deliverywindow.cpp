#include "delivery/deliverywindow.h"

#include <algorithm>

#include "core/overloaded.h"

namespace heatherdeal::delivery {

namespace {

using Effects = std::vector<DeliveryEffect>;

std::string
ToText(const core::ShardId& aShard)
{
  return aShard.m_job.m_value + "/" + std::to_string(aShard.m_index);
}

bool
IsTooOld(const DeliveryState& aState, const ReadyGroup& aGroup)
{
  return !aGroup.m_abandoned &&
         core::VersionsBehind(aGroup.m_oldest, aState.m_newest) >
           aState.m_policy.m_stalenessBound;
}

/// Returns true if the group was sent and no later pull has shown yet whether
/// the trainer received it.
bool
MayBeHeld(const DeliveryState& aState, core::GroupOrdinal aOrdinal)
{
  if (aState.m_waiting || !aState.m_exposed) {
    return false;
  }
  return std::ranges::find(
           aState.m_exposed->m_groups, aOrdinal, &GroupHead::m_ordinal) !=
         aState.m_exposed->m_groups.end();
}

/// Removes ready groups that exceed the staleness bound and requests that they
/// are generated again.
void
EvictTooOld(DeliveryState& aState, Effects& aEffects)
{
  for (auto it = aState.m_ready.begin(); it != aState.m_ready.end();) {
    if (!IsTooOld(aState, it->second) || MayBeHeld(aState, it->first)) {
      ++it;
      continue;
    }
    aEffects.push_back(RegenerateGroup{ it->first });
    it = aState.m_ready.erase(it);
  }
}

/// Releases the ready groups that the trainer's cursor lists as done.
void
ReleaseHeld(DeliveryState& aState, Effects& aEffects)
{
  for (auto it = aState.m_ready.begin(); it != aState.m_ready.end();) {
    if (!Contains(aState.m_cursor->m_done, it->first)) {
      ++it;
      continue;
    }
    aEffects.push_back(ReleaseGroup{ it->first });
    it = aState.m_ready.erase(it);
  }
}

/// Returns true if every group of the batch is still ready to be sent.
bool
IsStillGood(const DeliveryState& aState, const BatchHead& aBatch)
{
  for (const GroupHead& group : aBatch.m_groups) {
    if (!aState.m_ready.contains(group.m_ordinal)) {
      return false;
    }
  }
  return true;
}

/// Returns the lowest group that is not done, starting at aFrom.
core::GroupOrdinal
NextMissing(const DoneSet& aDone, core::GroupOrdinal aFrom)
{
  while (Contains(aDone, aFrom)) {
    ++aFrom;
  }
  return aFrom;
}

/// Adds a ready group to the batch. Returns false once the batch is full.
bool
AddTo(BatchHead& aBatch,
      const DeliveryPolicy& aPolicy,
      core::GroupOrdinal aOrdinal,
      const ReadyGroup& aGroup)
{
  if (aGroup.m_abandoned) {
    aBatch.m_abandoned.push_back(aOrdinal);
    return true;
  }
  aBatch.m_groups.push_back(
    { aOrdinal, aPolicy.m_samplesPerGroup, aGroup.m_oldest });
  return aBatch.m_groups.size() < aPolicy.m_groupsPerBatch;
}

BatchHead
Collect(const DeliveryState& aState, const InOrder&)
{
  BatchHead batch;
  const DoneSet& done = aState.m_cursor->m_done;
  core::GroupOrdinal ordinal = NextMissing(done, done.m_low);
  for (;;) {
    const auto found = aState.m_ready.find(ordinal);
    if (found == aState.m_ready.end() ||
        !AddTo(batch, aState.m_policy, ordinal, found->second)) {
      return batch;
    }
    ordinal = NextMissing(done, ordinal + 1);
  }
}

BatchHead
Collect(const DeliveryState& aState, const AnyOrder&)
{
  using Entry = std::pair<const core::GroupOrdinal, ReadyGroup>;
  std::vector<const Entry*> entries;
  for (const Entry& entry : aState.m_ready) {
    entries.push_back(&entry);
  }
  // Groups with the oldest weights reach the staleness bound first.
  std::ranges::stable_sort(
    entries, {}, [](const Entry* aEntry) { return aEntry->second.m_oldest; });
  BatchHead batch;
  for (const Entry* entry : entries) {
    if (!AddTo(batch, aState.m_policy, entry->first, entry->second)) {
      break;
    }
  }
  return batch;
}

/// Assembles a batch for the waiting pull if enough groups are ready.
void
TryExpose(DeliveryState& aState)
{
  BatchHead batch = std::visit(
    [&aState](const auto& aOrder) { return Collect(aState, aOrder); },
    aState.m_policy.m_order);
  if (batch.m_groups.size() < aState.m_policy.m_groupsPerBatch) {
    return;
  }
  batch.m_number = aState.m_cursor->m_number + 1;
  batch.m_epoch = aState.m_epoch;
  aState.m_exposed = std::move(batch);
}

/// Answers the waiting pull with the last batch if it was lost, or with a new
/// batch if one can be assembled.
void
AnswerWaiting(DeliveryState& aState, Effects& aEffects)
{
  if (!aState.m_waiting) {
    return;
  }
  // Staleness is checked here, immediately before the batch is sent.
  EvictTooOld(aState, aEffects);
  const bool resend =
    aState.m_exposed &&
    aState.m_exposed->m_number == aState.m_cursor->m_number + 1 &&
    IsStillGood(aState, *aState.m_exposed);
  if (!resend) {
    aState.m_exposed.reset();
  }
  if (!resend && !aState.m_held) {
    TryExpose(aState);
  }
  if (!aState.m_exposed) {
    return;
  }
  aEffects.push_back(SendBatch{ aState.m_waiting->m_pull, *aState.m_exposed });
  aState.m_waiting.reset();
}

void
RefuseWaiting(DeliveryState& aState, core::Failure aFailure, Effects& aEffects)
{
  if (!aState.m_waiting) {
    return;
  }
  aEffects.push_back(
    RefusePull{ aState.m_waiting->m_pull, std::move(aFailure) });
  aState.m_waiting.reset();
}

/// Returns true if the cursor is older than the one of an accepted pull, so
/// that a later pull of the same trainer has overtaken this one.
bool
IsOvertaken(const DeliveryState& aState, const Cursor& aCursor)
{
  if (!aState.m_cursor) {
    return false;
  }
  const Cursor& seen = *aState.m_cursor;
  return aCursor.m_incarnation < seen.m_incarnation ||
         (aCursor.m_incarnation == seen.m_incarnation &&
          aCursor.m_number < seen.m_number);
}

void
On(DeliveryState& aState,
   const GroupReady& aEvent,
   core::Instant,
   Effects& aEffects)
{
  if (aState.m_cursor && Contains(aState.m_cursor->m_done, aEvent.m_ordinal)) {
    aEffects.push_back(ReleaseGroup{ aEvent.m_ordinal });
    return;
  }
  aState.m_ready[aEvent.m_ordinal] = { aEvent.m_oldest, aEvent.m_abandoned };
  AnswerWaiting(aState, aEffects);
}

void
On(DeliveryState& aState,
   const PullArrived& aEvent,
   core::Instant aNow,
   Effects& aEffects)
{
  const Cursor& cursor = aEvent.m_cursor;
  if (cursor.m_epoch > aState.m_epoch) {
    aEffects.push_back(RefusePull{
      aEvent.m_pull, core::NotOwner{ ToText(aState.m_shard), "" } });
    return;
  }
  if (IsOvertaken(aState, cursor)) {
    aEffects.push_back(
      RefusePull{ aEvent.m_pull,
                  core::StaleCursor{ aState.m_cursor->m_incarnation,
                                     aState.m_cursor->m_number } });
    return;
  }
  RefuseWaiting(
    aState, core::PullSuperseded{ ToText(aState.m_shard) }, aEffects);
  const bool replaced =
    !aState.m_cursor || aState.m_cursor->m_done != cursor.m_done;
  aState.m_cursor = cursor;
  aState.m_newest = std::max(aState.m_newest, cursor.m_version);
  ReleaseHeld(aState, aEffects);
  if (replaced) {
    aEffects.push_back(CursorReplaced{});
  }
  aState.m_waiting = { aEvent.m_pull, cursor, aEvent.m_deadline };
  AnswerWaiting(aState, aEffects);
  if (aState.m_waiting && aState.m_waiting->m_deadline <= aNow) {
    RefuseWaiting(
      aState, core::DeadlineExceeded{ "pull", core::Executed::No }, aEffects);
  }
}

void
On(DeliveryState& aState,
   const NewestVersionSeen& aEvent,
   core::Instant,
   Effects& aEffects)
{
  aState.m_newest = std::max(aState.m_newest, aEvent.m_version);
  EvictTooOld(aState, aEffects);
}

void
On(DeliveryState& aState,
   const DeadlineCheck&,
   core::Instant aNow,
   Effects& aEffects)
{
  if (aState.m_waiting && aState.m_waiting->m_deadline <= aNow) {
    RefuseWaiting(
      aState, core::DeadlineExceeded{ "pull", core::Executed::No }, aEffects);
  }
}

void
On(DeliveryState& aState,
   const HoldChanged& aEvent,
   core::Instant,
   Effects& aEffects)
{
  aState.m_held = aEvent.m_held;
  AnswerWaiting(aState, aEffects);
}

void
On(DeliveryState& aState,
   const OwnershipEnded& aEvent,
   core::Instant,
   Effects& aEffects)
{
  RefuseWaiting(aState,
                core::NotOwner{ ToText(aState.m_shard), aEvent.m_newOwner },
                aEffects);
}

} // namespace

void
Apply(DeliveryState& aState,
      const DeliveryEvent& aEvent,
      core::Instant aNow,
      std::vector<DeliveryEffect>& aEffects)
{
  std::visit([&](const auto& aTyped) { On(aState, aTyped, aNow, aEffects); },
             aEvent);
}

std::optional<core::Instant>
NextDeadline(const DeliveryState& aState)
{
  if (!aState.m_waiting) {
    return std::nullopt;
  }
  return aState.m_waiting->m_deadline;
}

} // namespace heatherdeal::delivery
