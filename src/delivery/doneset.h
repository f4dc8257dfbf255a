#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.h"

namespace heatherdeal::delivery {

/// The groups that a trainer holds: all below m_low, and those in m_above.
struct DoneSet
{
  core::GroupOrdinal m_low = 0;
  /// Sorted, each greater than m_low.
  std::vector<core::GroupOrdinal> m_above;

  bool operator==(const DoneSet&) const = default;
};

bool
Contains(const DoneSet& aSet, core::GroupOrdinal aOrdinal);

/// Adds a group; no change if it is there.
void
Insert(DoneSet& aSet, core::GroupOrdinal aOrdinal);

/// True if m_above is sorted and lies above m_low.
bool
IsWellFormed(const DoneSet& aSet);

} // namespace heatherdeal::delivery
