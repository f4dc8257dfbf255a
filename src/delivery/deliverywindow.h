#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "core/failure.h"
#include "core/ids.h"
#include "core/instant.h"
#include "core/weightversion.h"
#include "delivery/trainercursor.h"

namespace heatherdeal::delivery {

/// Delivers groups strictly in ordinal order; a slow group delays all groups
/// behind it.
struct InOrderDelivery
{};

/// Delivers whichever groups are ready, those with the oldest weights first.
struct OldestFirstDelivery
{};

using DeliveryOrder = std::variant<InOrderDelivery, OldestFirstDelivery>;

/// Configures the batches of one shard.
struct DeliveryPolicy
{
  uint32_t m_groupsPerBatch = 1;
  /// Number of versions that the weights of a delivered sample may be behind
  /// the newest version.
  uint64_t m_stalenessBound = 1;
  uint32_t m_samplesPerGroup = 1;
  DeliveryOrder m_order = OldestFirstDelivery{};
};

/// Describes a group that is ready and has not been acknowledged by the
/// trainer.
struct ReadyGroup
{
  /// The oldest weights that any sample of the group was generated with.
  core::WeightVersion m_oldestVersion;
  bool m_abandoned = false;
};

/// Holds a pull request that has not been answered yet.
struct WaitingPull
{
  uint64_t m_pullId = 0;
  Cursor m_cursor;
  core::Instant m_deadline;
};

/// Holds the owner's delivery state of one shard. It is not persisted, because
/// each pull carries the trainer's cursor, which is authoritative.
struct DeliveryState
{
  DeliveryPolicy m_policy;
  core::ShardId m_shard;
  uint64_t m_epoch = 0;
  /// The cursor of the latest accepted pull; empty before the first pull.
  std::optional<Cursor> m_cursor;
  /// The newest version of the weights that this process knows of.
  core::WeightVersion m_newestVersion;
  std::map<core::GroupOrdinal, ReadyGroup> m_readyGroups;
  /// The batch that was sent last. It is sent again if the trainer's next pull
  /// shows that the response was lost.
  std::optional<BatchHead> m_lastSentBatch;
  std::optional<WaitingPull> m_waitingPull;
  /// While true, no new batch is assembled; see DeliveryHoldChanged.
  bool m_deliveryHeld = false;
};

/// Reports that a group is scored, or that it was abandoned.
struct GroupReady
{
  core::GroupOrdinal m_ordinal = 0;
  core::WeightVersion m_oldestVersion;
  bool m_abandoned = false;
};

/// Reports a pull request from the trainer.
struct PullArrived
{
  uint64_t m_pullId = 0;
  Cursor m_cursor;
  core::Instant m_deadline;
};

/// Reports that a version of the weights has been published.
struct NewestVersionSeen
{
  core::WeightVersion m_version;
};

/// Requests a check whether the waiting pull has reached its deadline.
struct DeadlineCheck
{};

/// Starts or ends the hold on new batches. Batches are held while groups in
/// progress would exceed the staleness bound after the trainer's next step.
struct DeliveryHoldChanged
{
  bool m_held = false;
};

/// Reports that this process no longer owns the shard.
struct OwnershipEnded
{
  /// The address of the new owner; empty if it is unknown.
  std::string m_newOwner;
};

using DeliveryEvent = std::variant<GroupReady,
                                   PullArrived,
                                   NewestVersionSeen,
                                   DeadlineCheck,
                                   DeliveryHoldChanged,
                                   OwnershipEnded>;

/// Requests that the batch is sent as the response to the pull.
struct SendBatch
{
  uint64_t m_pullId = 0;
  BatchHead m_batch;
};

/// Requests that the pull is answered with the failure.
struct RefusePull
{
  uint64_t m_pullId = 0;
  core::Failure m_failure;
};

/// Reports that the trainer holds the group, so that its payload can be freed.
struct ReleaseGroup
{
  core::GroupOrdinal m_ordinal = 0;
};

/// Requests that a group that exceeds the staleness bound is generated again.
struct RegenerateGroup
{
  core::GroupOrdinal m_ordinal = 0;
};

/// Reports that the trainer's set of done groups differs from the one in
/// the previous pull, or that there was no previous pull.
struct DoneSetChanged
{};

using DeliveryEffect = std::
  variant<SendBatch, RefusePull, ReleaseGroup, RegenerateGroup, DoneSetChanged>;

/// Applies an event to the state and appends the resulting effects to
/// aEffects.
void
Apply(DeliveryState& aState,
      const DeliveryEvent& aEvent,
      core::Instant aNow,
      std::vector<DeliveryEffect>& aEffects);

/// Returns when the next DeadlineCheck is due, or nothing if no pull waits.
std::optional<core::Instant>
NextDeadline(const DeliveryState& aState);

} // namespace heatherdeal::delivery
