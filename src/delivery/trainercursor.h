#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/weightversion.h"
#include "delivery/doneset.h"

namespace heatherdeal::delivery {

/// Records what a trainer has received from one shard. The trainer saves it in
/// its own checkpoint and sends it with each pull; it is the authoritative
/// record of delivery.
struct Cursor
{
  /// Incremented when the trainer restarts from an earlier checkpoint.
  uint64_t m_incarnation = 1;
  /// The number of the last received batch; 0 before the first.
  uint64_t m_lastBatchNumber = 0;
  /// The highest owner epoch that the trainer has seen; a fencing token.
  uint64_t m_epoch = 0;
  /// The newest version of the weights that the trainer has published.
  core::WeightVersion m_publishedVersion;
  /// The groups that the trainer holds or has skipped.
  DoneSet m_done;
};

/// Describes a group without its payload.
struct GroupHead
{
  core::GroupOrdinal m_ordinal = 0;
  uint32_t m_samples = 0;
  /// The oldest weights that any sample of the group was generated with.
  core::WeightVersion m_oldestVersion;
};

/// Describes a batch without its payload.
struct BatchHead
{
  uint64_t m_number = 0;
  uint64_t m_epoch = 0;
  std::vector<GroupHead> m_groups;
  /// Groups that could not be generated; the trainer counts them as done.
  std::vector<core::GroupOrdinal> m_abandonedGroups;
};

/// Reason for rejection: the batch number does not follow that of the last
/// received batch.
struct UnexpectedNumber
{
  uint64_t m_expected = 0;
};

/// Reason for rejection: the owner that sent the batch has an outdated epoch.
struct ReplacedOwner
{
  uint64_t m_epochSeen = 0;
};

/// Reason for rejection: the trainer already holds a group of the batch.
struct GroupAlreadyHeld
{
  core::GroupOrdinal m_ordinal = 0;
};

/// Reason for rejection: a sample of the batch exceeds the staleness bound.
struct GroupTooOld
{
  core::GroupOrdinal m_ordinal = 0;
  uint64_t m_versionsBehind = 0;
};

/// Reason for rejection: a group of the batch has the wrong number of samples.
struct GroupIncomplete
{
  core::GroupOrdinal m_ordinal = 0;
};

using BatchRejection = std::variant<UnexpectedNumber,
                                    ReplacedOwner,
                                    GroupAlreadyHeld,
                                    GroupTooOld,
                                    GroupIncomplete>;

/// Holds what the trainer requires of each batch.
struct BatchRequirements
{
  /// Number of versions that a sample may be behind the published weights.
  uint64_t m_stalenessBound = 0;
  uint32_t m_samplesPerGroup = 1;
};

/// Records the batch in the cursor and returns nothing, or returns why the
/// batch is rejected and leaves the cursor unchanged.
std::optional<BatchRejection>
AcceptBatch(Cursor& aCursor,
            const BatchHead& aBatch,
            const BatchRequirements& aRequirements);

} // namespace heatherdeal::delivery
