#include "delivery/deliverywindow.h"

#include <algorithm>

#include "core/overloaded.h"

namespace heatherdeal::delivery {

namespace {

using Effects = std::vector<DeliveryEffect>;

std::string
FormatShardId(const core::ShardId& aShard)
{
  return aShard.m_job.m_value + "/" + std::to_string(aShard.m_index);
}

bool
IsStale(const DeliveryState& aState, const ReadyGroup& aGroup)
{
  return !aGroup.m_abandoned &&
         core::VersionsBehind(aGroup.m_oldestVersion, aState.m_newestVersion) >
           aState.m_policy.m_stalenessBound;
}

/// Returns true if the group was sent and no later pull has shown yet whether
/// the trainer received it.
bool
IsReceiptUnconfirmed(const DeliveryState& aState, core::GroupOrdinal aOrdinal)
{
  if (aState.m_waitingPull || !aState.m_lastSentBatch) {
    return false;
  }
  return std::ranges::find(
           aState.m_lastSentBatch->m_groups, aOrdinal, &GroupHead::m_ordinal) !=
         aState.m_lastSentBatch->m_groups.end();
}

/// Removes ready groups that exceed the staleness bound and requests that they
/// are generated again.
void
EvictStaleGroups(DeliveryState& aState, Effects& aEffects)
{
  for (auto it = aState.m_readyGroups.begin();
       it != aState.m_readyGroups.end();) {
    if (!IsStale(aState, it->second) ||
        IsReceiptUnconfirmed(aState, it->first)) {
      ++it;
      continue;
    }
    aEffects.push_back(RegenerateGroup{ it->first });
    it = aState.m_readyGroups.erase(it);
  }
}

/// Releases the ready groups that the trainer's cursor lists as done.
void
ReleaseDoneGroups(DeliveryState& aState, Effects& aEffects)
{
  for (auto it = aState.m_readyGroups.begin();
       it != aState.m_readyGroups.end();) {
    if (!Contains(aState.m_cursor->m_done, it->first)) {
      ++it;
      continue;
    }
    aEffects.push_back(ReleaseGroup{ it->first });
    it = aState.m_readyGroups.erase(it);
  }
}

/// Returns true if every group of the batch is still ready to be sent.
bool
HasOnlyReadyGroups(const DeliveryState& aState, const BatchHead& aBatch)
{
  for (const GroupHead& group : aBatch.m_groups) {
    if (!aState.m_readyGroups.contains(group.m_ordinal)) {
      return false;
    }
  }
  return true;
}

/// Returns the lowest group that is not done, starting at aFrom.
core::GroupOrdinal
FindNextGroupNotDone(const DoneSet& aDone, core::GroupOrdinal aFrom)
{
  while (Contains(aDone, aFrom)) {
    ++aFrom;
  }
  return aFrom;
}

/// Adds a ready group to the batch. Returns false once the batch is full.
bool
AddToBatch(BatchHead& aBatch,
           const DeliveryPolicy& aPolicy,
           core::GroupOrdinal aOrdinal,
           const ReadyGroup& aGroup)
{
  if (aGroup.m_abandoned) {
    aBatch.m_abandonedGroups.push_back(aOrdinal);
    return true;
  }
  aBatch.m_groups.push_back(
    { aOrdinal, aPolicy.m_samplesPerGroup, aGroup.m_oldestVersion });
  return aBatch.m_groups.size() < aPolicy.m_groupsPerBatch;
}

BatchHead
CollectGroups(const DeliveryState& aState, const InOrderDelivery&)
{
  BatchHead batch;
  const DoneSet& done = aState.m_cursor->m_done;
  core::GroupOrdinal ordinal = FindNextGroupNotDone(done, done.m_lowWatermark);
  for (;;) {
    const auto found = aState.m_readyGroups.find(ordinal);
    if (found == aState.m_readyGroups.end() ||
        !AddToBatch(batch, aState.m_policy, ordinal, found->second)) {
      return batch;
    }
    ordinal = FindNextGroupNotDone(done, ordinal + 1);
  }
}

BatchHead
CollectGroups(const DeliveryState& aState, const OldestFirstDelivery&)
{
  using Entry = std::pair<const core::GroupOrdinal, ReadyGroup>;
  std::vector<const Entry*> entries;
  for (const Entry& entry : aState.m_readyGroups) {
    entries.push_back(&entry);
  }
  // Groups with the oldest weights reach the staleness bound first.
  std::ranges::stable_sort(entries, {}, [](const Entry* aEntry) {
    return aEntry->second.m_oldestVersion;
  });
  BatchHead batch;
  for (const Entry* entry : entries) {
    if (!AddToBatch(batch, aState.m_policy, entry->first, entry->second)) {
      break;
    }
  }
  return batch;
}

/// Assembles a batch for the waiting pull if enough groups are ready.
void
TryAssembleBatch(DeliveryState& aState)
{
  BatchHead batch = std::visit(
    [&aState](const auto& aOrder) { return CollectGroups(aState, aOrder); },
    aState.m_policy.m_order);
  if (batch.m_groups.size() < aState.m_policy.m_groupsPerBatch) {
    return;
  }
  batch.m_number = aState.m_cursor->m_lastBatchNumber + 1;
  batch.m_epoch = aState.m_epoch;
  aState.m_lastSentBatch = std::move(batch);
}

/// Answers the waiting pull with the last batch if it was lost, or with a new
/// batch if one can be assembled.
void
AnswerWaitingPull(DeliveryState& aState, Effects& aEffects)
{
  if (!aState.m_waitingPull) {
    return;
  }
  // Staleness is checked here, immediately before the batch is sent.
  EvictStaleGroups(aState, aEffects);
  const bool canResend = aState.m_lastSentBatch &&
                         aState.m_lastSentBatch->m_number ==
                           aState.m_cursor->m_lastBatchNumber + 1 &&
                         HasOnlyReadyGroups(aState, *aState.m_lastSentBatch);
  if (!canResend) {
    aState.m_lastSentBatch.reset();
  }
  if (!canResend && !aState.m_deliveryHeld) {
    TryAssembleBatch(aState);
  }
  if (!aState.m_lastSentBatch) {
    return;
  }
  aEffects.push_back(
    SendBatch{ aState.m_waitingPull->m_pullId, *aState.m_lastSentBatch });
  aState.m_waitingPull.reset();
}

void
RefuseWaitingPull(DeliveryState& aState,
                  core::Failure aFailure,
                  Effects& aEffects)
{
  if (!aState.m_waitingPull) {
    return;
  }
  aEffects.push_back(
    RefusePull{ aState.m_waitingPull->m_pullId, std::move(aFailure) });
  aState.m_waitingPull.reset();
}

/// Returns true if the cursor is older than the one of an accepted pull, so
/// that a later pull of the same trainer has overtaken this one.
bool
HasNewerCursorBeenAccepted(const DeliveryState& aState, const Cursor& aCursor)
{
  if (!aState.m_cursor) {
    return false;
  }
  const Cursor& acceptedCursor = *aState.m_cursor;
  return aCursor.m_incarnation < acceptedCursor.m_incarnation ||
         (aCursor.m_incarnation == acceptedCursor.m_incarnation &&
          aCursor.m_lastBatchNumber < acceptedCursor.m_lastBatchNumber);
}

void
HandleEvent(DeliveryState& aState,
            const GroupReady& aEvent,
            core::Instant,
            Effects& aEffects)
{
  if (aState.m_cursor && Contains(aState.m_cursor->m_done, aEvent.m_ordinal)) {
    aEffects.push_back(ReleaseGroup{ aEvent.m_ordinal });
    return;
  }
  aState.m_readyGroups[aEvent.m_ordinal] = { aEvent.m_oldestVersion,
                                             aEvent.m_abandoned };
  AnswerWaitingPull(aState, aEffects);
}

void
HandleEvent(DeliveryState& aState,
            const PullArrived& aEvent,
            core::Instant aNow,
            Effects& aEffects)
{
  const Cursor& cursor = aEvent.m_cursor;
  if (cursor.m_epoch > aState.m_epoch) {
    aEffects.push_back(RefusePull{
      aEvent.m_pullId, core::NotOwner{ FormatShardId(aState.m_shard), "" } });
    return;
  }
  if (HasNewerCursorBeenAccepted(aState, cursor)) {
    aEffects.push_back(
      RefusePull{ aEvent.m_pullId,
                  core::StaleCursor{ aState.m_cursor->m_incarnation,
                                     aState.m_cursor->m_lastBatchNumber } });
    return;
  }
  RefuseWaitingPull(
    aState, core::PullSuperseded{ FormatShardId(aState.m_shard) }, aEffects);
  const bool doneSetChanged =
    !aState.m_cursor || aState.m_cursor->m_done != cursor.m_done;
  aState.m_cursor = cursor;
  aState.m_newestVersion =
    std::max(aState.m_newestVersion, cursor.m_publishedVersion);
  ReleaseDoneGroups(aState, aEffects);
  if (doneSetChanged) {
    aEffects.push_back(DoneSetChanged{});
  }
  aState.m_waitingPull = { aEvent.m_pullId, cursor, aEvent.m_deadline };
  AnswerWaitingPull(aState, aEffects);
  if (aState.m_waitingPull && aState.m_waitingPull->m_deadline <= aNow) {
    RefuseWaitingPull(
      aState, core::DeadlineExceeded{ "pull", core::Executed::No }, aEffects);
  }
}

void
HandleEvent(DeliveryState& aState,
            const NewestVersionSeen& aEvent,
            core::Instant,
            Effects& aEffects)
{
  aState.m_newestVersion = std::max(aState.m_newestVersion, aEvent.m_version);
  EvictStaleGroups(aState, aEffects);
}

void
HandleEvent(DeliveryState& aState,
            const DeadlineCheck&,
            core::Instant aNow,
            Effects& aEffects)
{
  if (aState.m_waitingPull && aState.m_waitingPull->m_deadline <= aNow) {
    RefuseWaitingPull(
      aState, core::DeadlineExceeded{ "pull", core::Executed::No }, aEffects);
  }
}

void
HandleEvent(DeliveryState& aState,
            const DeliveryHoldChanged& aEvent,
            core::Instant,
            Effects& aEffects)
{
  aState.m_deliveryHeld = aEvent.m_held;
  AnswerWaitingPull(aState, aEffects);
}

void
HandleEvent(DeliveryState& aState,
            const OwnershipEnded& aEvent,
            core::Instant,
            Effects& aEffects)
{
  RefuseWaitingPull(
    aState,
    core::NotOwner{ FormatShardId(aState.m_shard), aEvent.m_newOwner },
    aEffects);
}

} // namespace

void
Apply(DeliveryState& aState,
      const DeliveryEvent& aEvent,
      core::Instant aNow,
      std::vector<DeliveryEffect>& aEffects)
{
  std::visit(
    [&](const auto& aConcreteEvent) {
      HandleEvent(aState, aConcreteEvent, aNow, aEffects);
    },
    aEvent);
}

std::optional<core::Instant>
NextDeadline(const DeliveryState& aState)
{
  if (!aState.m_waitingPull) {
    return std::nullopt;
  }
  return aState.m_waitingPull->m_deadline;
}

} // namespace heatherdeal::delivery
