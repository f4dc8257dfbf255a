#pragma once

#include <compare>
#include <map>
#include <span>
#include <string>

#include "usage/countsending.h"

namespace heatherdeal::usage {

/// One run of a host's process.
struct HostRun
{
  std::string m_host;
  uint64_t m_run = 0;

  auto operator<=>(const HostRun&) const = default;
};

/// What one run of a host has reported to the holder.
struct CollectedRun
{
  std::map<WindowId, CustomerCounts> m_windows;
  WindowId m_finalThrough = 0;
};

/// The counts that the holder has received.
struct Collection
{
  std::map<HostRun, CollectedRun> m_runs;
};

// Bounds the memory of the collection; far above the hosts of two years.
inline constexpr size_t kMaxCollectedRuns = 8192;

/// Adds the counts of windows in [aFirst, aLast]. Counts never decrease, so
/// messages may arrive late and repeatedly.
void
AddMessage(Collection& aCollection,
           const CountMessage& aMessage,
           WindowId aFirst,
           WindowId aLast);

/// Returns the sums over all hosts.
CustomerCounts
MergeCounts(const Collection& aCollection, WindowId aWindow);

/// True if the newest run of each host has sent its final counts of the window.
/// False if there are no hosts: then nothing is known of who counts.
bool
IsFinal(const Collection& aCollection,
        std::span<const std::string> aHosts,
        WindowId aWindow);

/// Removes the windows before aFirst, and runs that have none left and were
/// followed by another run of their host.
void
RemoveWindowsBefore(Collection& aCollection, WindowId aFirst);

} // namespace heatherdeal::usage
