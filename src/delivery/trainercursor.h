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

/// What a trainer holds of one shard. It is saved with the trainer's own
/// checkpoint and sent with each pull; it is the truth about delivery.
struct Cursor
{
  /// Raised when the trainer goes back to an earlier checkpoint.
  uint64_t m_incarnation = 1;
  /// Number of the last batch held; 0 before the first.
  uint64_t m_number = 0;
  /// Highest owner epoch seen.
  uint64_t m_epoch = 0;
  /// The newest weights that the trainer has published.
  core::WeightVersion m_version;
  DoneSet m_done;
};

/// What decides about a group before it is delivered.
struct GroupHead
{
  core::GroupOrdinal m_ordinal = 0;
  uint32_t m_samples = 0;
  core::WeightVersion m_oldest;
};

/// A batch without its payload.
struct BatchHead
{
  uint64_t m_number = 0;
  uint64_t m_epoch = 0;
  std::vector<GroupHead> m_groups;
  /// Groups that cannot be made; the trainer counts them as done.
  std::vector<core::GroupOrdinal> m_abandoned;
};

/// The batch is not the one after the last held.
struct UnexpectedNumber
{
  uint64_t m_expected = 0;
};

/// The batch comes from an owner that has been replaced.
struct ReplacedOwner
{
  uint64_t m_epochSeen = 0;
};

/// A group of the batch is held already.
struct GroupAlreadyHeld
{
  core::GroupOrdinal m_ordinal = 0;
};

/// A sample of the batch is older than the bound allows.
struct GroupTooOld
{
  core::GroupOrdinal m_ordinal = 0;
  uint64_t m_versionsBehind = 0;
};

/// A group lacks samples.
struct GroupIncomplete
{
  core::GroupOrdinal m_ordinal = 0;
};

using BatchRejection = std::variant<UnexpectedNumber,
                                    ReplacedOwner,
                                    GroupAlreadyHeld,
                                    GroupTooOld,
                                    GroupIncomplete>;

/// What the trainer requires of each batch.
struct BatchRequirements
{
  uint64_t m_stalenessBound = 0;
  uint32_t m_samplesPerGroup = 1;
};

/// Takes the batch into the cursor, or says why it must not be used. The
/// cursor is unchanged then.
std::optional<BatchRejection>
Take(Cursor& aCursor,
     const BatchHead& aBatch,
     const BatchRequirements& aRequirements);

} // namespace heatherdeal::delivery
