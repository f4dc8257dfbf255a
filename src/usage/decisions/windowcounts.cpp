#include "usage/windowcounts.h"

#include <algorithm>

namespace heatherdeal::usage {

WindowId
WindowAt(int64_t aUnixMilliseconds, int64_t aWindowMilliseconds)
{
  return static_cast<WindowId>(std::max<int64_t>(aUnixMilliseconds, 0) /
                               aWindowMilliseconds);
}

int64_t
EndOf(WindowId aWindow, int64_t aWindowMilliseconds)
{
  return (static_cast<int64_t>(aWindow) + 1) * aWindowMilliseconds;
}

void
CountStart(WindowCounts& aCounts,
           std::string_view aCustomer,
           int64_t aUnixMilliseconds)
{
  const WindowId id = WindowAt(aUnixMilliseconds, aCounts.m_windowMilliseconds);
  const bool isKnown = aCounts.m_windows.contains(id);
  if (id < aCounts.m_firstWindow || aCustomer.size() > kMaxCustomerNameBytes ||
      (!isKnown && aCounts.m_windows.size() >= kMaxWindows)) {
    aCounts.m_uncountedStarts += 1;
    return;
  }
  WindowCount& window = aCounts.m_windows[id];
  auto found = window.m_counts.find(aCustomer);
  if (found == window.m_counts.end()) {
    if (window.m_counts.size() >= kMaxCustomersPerWindow) {
      aCounts.m_uncountedStarts += 1;
      return;
    }
    found = window.m_counts.emplace(std::string(aCustomer), 0).first;
  }
  found->second += 1;
  window.m_version += 1;
}

void
RetainWindows(WindowCounts& aCounts, WindowId aFirst, WindowId aLast)
{
  aCounts.m_firstWindow = aFirst;
  std::erase_if(aCounts.m_windows, [&](const auto& aEntry) {
    return aEntry.first < aFirst || aEntry.first > aLast;
  });
}

} // namespace heatherdeal::usage
