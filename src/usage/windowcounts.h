#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace heatherdeal::usage {

/// Number of a window. Window k begins at k x the window's length after the
/// start of 1970.
using WindowId = uint64_t;

/// Number of requests that began to run, by customer.
using CustomerCounts = std::map<std::string, uint64_t, std::less<>>;

// Bounds on the memory of the counts, and on decoded messages.
inline constexpr size_t kMaxWindows = 32;
inline constexpr size_t kMaxCustomersPerWindow = 4096;
inline constexpr size_t kMaxCustomerNameBytes = 255;

/// Returns the window that contains the time. Times before 1970 belong to the
/// first window.
WindowId
WindowAt(int64_t aUnixMilliseconds, int64_t aWindowMilliseconds);

/// Returns the end of the window in Unix milliseconds.
int64_t
EndOf(WindowId aWindow, int64_t aWindowMilliseconds);

/// The counts of one window. The version increases with each change.
struct WindowCount
{
  CustomerCounts m_counts;
  uint64_t m_version = 0;
};

/// What one run of a host has counted so far.
struct WindowCounts
{
  int64_t m_windowMilliseconds = 5000;
  std::map<WindowId, WindowCount> m_windows;
  /// Older windows are not counted any more.
  WindowId m_firstWindow = 0;
  /// Starts that were not counted, because their window had been removed or a
  /// bound was reached.
  uint64_t m_uncountedStarts = 0;
};

/// Counts a request that began to run at this time.
void
CountStart(WindowCounts& aCounts,
           std::string_view aCustomer,
           int64_t aUnixMilliseconds);

/// Removes the windows before aFirst, and those after aLast, which come from a
/// clock that has been set back since.
void
RetainWindows(WindowCounts& aCounts, WindowId aFirst, WindowId aLast);

} // namespace heatherdeal::usage
