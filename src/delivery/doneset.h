#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.h"

namespace heatherdeal::delivery {

/// Stores which groups the trainer holds or has skipped as abandoned: all
/// groups below m_lowWatermark, and the groups listed in m_aboveWatermark.
struct DoneSet
{
  core::GroupOrdinal m_lowWatermark = 0;
  /// Sorted in ascending order without duplicates; every entry is greater than
  /// m_lowWatermark.
  std::vector<core::GroupOrdinal> m_aboveWatermark;

  bool operator==(const DoneSet&) const = default;
};

/// Returns true if the group is in the set.
bool
Contains(const DoneSet& aSet, core::GroupOrdinal aOrdinal);

/// Adds a group to the set; does nothing if the set already contains it.
void
Insert(DoneSet& aSet, core::GroupOrdinal aOrdinal);

/// Returns true if m_aboveWatermark is strictly ascending and every entry is
/// greater than m_lowWatermark.
bool
IsWellFormed(const DoneSet& aSet);

} // namespace heatherdeal::delivery
