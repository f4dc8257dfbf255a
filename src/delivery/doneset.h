#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.h"

namespace heatherdeal::delivery {

/// Stores which groups the trainer holds or has skipped as abandoned: all
/// groups below m_low, and the groups listed in m_above.
struct DoneSet
{
  core::GroupOrdinal m_low = 0;
  /// Sorted in ascending order without duplicates; every entry is greater than
  /// m_low.
  std::vector<core::GroupOrdinal> m_above;

  bool operator==(const DoneSet&) const = default;
};

/// Returns true if the group is in the set.
bool
Contains(const DoneSet& aSet, core::GroupOrdinal aOrdinal);

/// Adds a group to the set; does nothing if the set already contains it.
void
Insert(DoneSet& aSet, core::GroupOrdinal aOrdinal);

/// Returns true if m_above is strictly ascending and every entry is greater
/// than m_low.
bool
IsWellFormed(const DoneSet& aSet);

} // namespace heatherdeal::delivery
