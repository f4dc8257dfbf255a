#include "delivery/trainercursor.h"

namespace heatherdeal::delivery {

namespace {

std::optional<BatchRejection>
CheckGroup(const Cursor& aCursor,
           const GroupHead& aGroup,
           const BatchRequirements& aRequirements)
{
  if (Contains(aCursor.m_done, aGroup.m_ordinal)) {
    return GroupAlreadyHeld{ aGroup.m_ordinal };
  }
  if (aGroup.m_samples != aRequirements.m_samplesPerGroup) {
    return GroupIncomplete{ aGroup.m_ordinal };
  }
  const uint64_t versionsBehind =
    core::VersionsBehind(aGroup.m_oldestVersion, aCursor.m_publishedVersion);
  if (versionsBehind > aRequirements.m_stalenessBound) {
    return GroupTooOld{ aGroup.m_ordinal, versionsBehind };
  }
  return std::nullopt;
}

} // namespace

std::optional<BatchRejection>
AcceptBatch(Cursor& aCursor,
            const BatchHead& aBatch,
            const BatchRequirements& aRequirements)
{
  if (aBatch.m_epoch < aCursor.m_epoch) {
    return ReplacedOwner{ aCursor.m_epoch };
  }
  if (aBatch.m_number != aCursor.m_lastBatchNumber + 1) {
    return UnexpectedNumber{ aCursor.m_lastBatchNumber + 1 };
  }
  DoneSet updatedDone = aCursor.m_done;
  for (const GroupHead& group : aBatch.m_groups) {
    const auto rejection = CheckGroup(aCursor, group, aRequirements);
    if (rejection) {
      return rejection;
    }
    if (Contains(updatedDone, group.m_ordinal)) {
      return GroupAlreadyHeld{ group.m_ordinal };
    }
    Insert(updatedDone, group.m_ordinal);
  }
  for (const core::GroupOrdinal ordinal : aBatch.m_abandonedGroups) {
    Insert(updatedDone, ordinal);
  }
  aCursor.m_done = std::move(updatedDone);
  aCursor.m_lastBatchNumber = aBatch.m_number;
  aCursor.m_epoch = aBatch.m_epoch;
  return std::nullopt;
}

} // namespace heatherdeal::delivery
