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

/// Batches hold the lowest groups in order, however long one takes.
struct InOrder
{};

/// Batches hold the groups that are ready, oldest weights first.
struct AnyOrder
{};

using DeliveryOrder = std::variant<InOrder, AnyOrder>;

struct DeliveryPolicy
{
  uint32_t m_groupsPerBatch = 1;
  uint64_t m_stalenessBound = 1;
  uint32_t m_samplesPerGroup = 1;
  DeliveryOrder m_order = AnyOrder{};
};

/// A group that waits for a pull.
struct ReadyGroup
{
  core::WeightVersion m_oldest;
  bool m_abandoned = false;
};

/// A pull that has no answer yet.
struct WaitingPull
{
  uint64_t m_pull = 0;
  Cursor m_cursor;
  core::Instant m_deadline;
};

/// The owner's side of the delivery of one shard. It needs no stored record:
/// each pull brings the trainer's cursor, and what it says goes.
struct DeliveryState
{
  DeliveryPolicy m_policy;
  core::ShardId m_shard;
  uint64_t m_epoch = 0;
  /// The cursor of the newest pull; none before the first.
  std::optional<Cursor> m_cursor;
  core::WeightVersion m_newest;
  std::map<core::GroupOrdinal, ReadyGroup> m_ready;
  std::optional<BatchHead> m_exposed;
  std::optional<WaitingPull> m_waiting;
  /// No batch is exposed while set; see HoldChanged.
  bool m_held = false;
};

struct GroupReady
{
  core::GroupOrdinal m_ordinal = 0;
  core::WeightVersion m_oldest;
  bool m_abandoned = false;
};

struct PullArrived
{
  uint64_t m_pull = 0;
  Cursor m_cursor;
  core::Instant m_deadline;
};

struct NewestVersionSeen
{
  core::WeightVersion m_version;
};

struct DeadlineCheck
{};

/// Groups in work would be too old after the trainer's next step, so that
/// its next batch has to wait for them; or no longer.
struct HoldChanged
{
  bool m_held = false;
};

/// The process no longer owns the shard.
struct OwnershipEnded
{
  std::string m_newOwner;
};

using DeliveryEvent = std::variant<GroupReady,
                                   PullArrived,
                                   NewestVersionSeen,
                                   DeadlineCheck,
                                   HoldChanged,
                                   OwnershipEnded>;

struct SendBatch
{
  uint64_t m_pull = 0;
  BatchHead m_batch;
};

struct RefusePull
{
  uint64_t m_pull = 0;
  core::Failure m_failure;
};

/// The trainer holds the group; its payload may go.
struct ReleaseGroup
{
  core::GroupOrdinal m_ordinal = 0;
};

/// The group is too old to be delivered and has to be made again.
struct RegenerateGroup
{
  core::GroupOrdinal m_ordinal = 0;
};

/// The trainer's cursor went back or forward by more than our own batches.
struct CursorReplaced
{};

using DeliveryEffect = std::
  variant<SendBatch, RefusePull, ReleaseGroup, RegenerateGroup, CursorReplaced>;

void
Apply(DeliveryState& aState,
      const DeliveryEvent& aEvent,
      core::Instant aNow,
      std::vector<DeliveryEffect>& aEffects);

/// When a DeadlineCheck is due; nothing if none is.
std::optional<core::Instant>
NextDeadline(const DeliveryState& aState);

} // namespace heatherdeal::delivery
