#include "usage/collection.h"

#include <algorithm>

namespace heatherdeal::usage {

namespace {

/// Returns the newest run of the host, or the end.
std::map<HostRun, CollectedRun>::const_iterator
FindNewestRun(const Collection& aCollection, const std::string& aHost)
{
  const auto after = aCollection.m_runs.upper_bound({ aHost, UINT64_MAX });
  if (after == aCollection.m_runs.begin()) {
    return aCollection.m_runs.end();
  }
  const auto newest = std::prev(after);
  return newest->first.m_host == aHost ? newest : aCollection.m_runs.end();
}

void
RaiseCounts(CustomerCounts& aCounts, const CustomerCounts& aReported)
{
  for (const auto& [customer, count] : aReported) {
    const bool hasRoom = aCounts.size() < kMaxCustomersPerWindow;
    if (hasRoom || aCounts.contains(customer)) {
      uint64_t& known = aCounts[customer];
      known = std::max(known, count);
    }
  }
}

} // namespace

void
AddMessage(Collection& aCollection,
           const CountMessage& aMessage,
           WindowId aFirst,
           WindowId aLast)
{
  const HostRun key{ aMessage.m_host, aMessage.m_run };
  if (!aCollection.m_runs.contains(key) &&
      aCollection.m_runs.size() >= kMaxCollectedRuns) {
    return;
  }
  CollectedRun& run = aCollection.m_runs[key];
  for (const CountedWindow& window : aMessage.m_windows) {
    if (window.m_window >= aFirst && window.m_window <= aLast) {
      RaiseCounts(run.m_windows[window.m_window], window.m_counts);
    }
  }
  run.m_finalThrough = std::max(run.m_finalThrough, aMessage.m_finalThrough);
}

CustomerCounts
MergeCounts(const Collection& aCollection, WindowId aWindow)
{
  CustomerCounts sums;
  for (const auto& [key, run] : aCollection.m_runs) {
    const auto window = run.m_windows.find(aWindow);
    if (window == run.m_windows.end()) {
      continue;
    }
    for (const auto& [customer, count] : window->second) {
      const auto sum = sums.find(customer);
      if (sum != sums.end()) {
        sum->second += count;
      } else if (sums.size() < kMaxCustomersPerWindow) {
        sums.emplace(customer, count);
      }
    }
  }
  return sums;
}

bool
IsFinal(const Collection& aCollection,
        std::span<const std::string> aHosts,
        WindowId aWindow)
{
  return !aHosts.empty() &&
         std::ranges::all_of(aHosts, [&](const std::string& aHost) {
           const auto newest = FindNewestRun(aCollection, aHost);
           return newest != aCollection.m_runs.end() &&
                  newest->second.m_finalThrough >= aWindow;
         });
}

void
RemoveWindowsBefore(Collection& aCollection, WindowId aFirst)
{
  for (auto& [key, run] : aCollection.m_runs) {
    run.m_windows.erase(run.m_windows.begin(),
                        run.m_windows.lower_bound(aFirst));
  }
  std::erase_if(aCollection.m_runs, [&](const auto& aEntry) {
    const auto newest = FindNewestRun(aCollection, aEntry.first.m_host);
    const bool isSilent = aEntry.second.m_finalThrough < aFirst;
    return aEntry.second.m_windows.empty() &&
           (isSilent || newest->first != aEntry.first);
  });
}

} // namespace heatherdeal::usage
