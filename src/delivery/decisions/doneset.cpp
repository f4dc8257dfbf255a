#include "delivery/doneset.h"

#include <algorithm>
#include <functional>

namespace heatherdeal::delivery {

bool
Contains(const DoneSet& aSet, core::GroupOrdinal aOrdinal)
{
  return aOrdinal < aSet.m_lowWatermark ||
         std::ranges::binary_search(aSet.m_aboveWatermark, aOrdinal);
}

void
Insert(DoneSet& aSet, core::GroupOrdinal aOrdinal)
{
  if (Contains(aSet, aOrdinal)) {
    return;
  }
  auto& above = aSet.m_aboveWatermark;
  above.insert(std::ranges::lower_bound(above, aOrdinal), aOrdinal);
  auto next = above.begin();
  while (next != above.end() && *next == aSet.m_lowWatermark) {
    ++aSet.m_lowWatermark;
    ++next;
  }
  above.erase(above.begin(), next);
}

bool
IsWellFormed(const DoneSet& aSet)
{
  const auto& above = aSet.m_aboveWatermark;
  const bool ascending =
    std::ranges::adjacent_find(above, std::greater_equal<>()) == above.end();
  return ascending && (above.empty() || above.front() > aSet.m_lowWatermark);
}

} // namespace heatherdeal::delivery
