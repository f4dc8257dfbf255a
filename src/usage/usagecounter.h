#pragma once

#include <mutex>

#include "core/ids.h"
#include "usage/windowcounts.h"

namespace heatherdeal::usage {

/// Counts the callers' requests that begin to run, by customer and window. Any
/// thread.
class UsageCounter
{
public:
  explicit UsageCounter(int64_t aWindowMilliseconds)
  {
    m_counts.m_windowMilliseconds = aWindowMilliseconds;
  }

  /// Counts a request of the customer that began to run at this time. Ignored
  /// if the customer is empty.
  void RecordStart(const core::CustomerId& aCustomer, int64_t aUnixMilliseconds)
  {
    if (!aCustomer.m_value.empty()) {
      const std::scoped_lock lock(m_mutex);
      CountStart(m_counts, aCustomer.m_value, aUnixMilliseconds);
    }
  }

  /// Removes the windows outside of [aFirst, aLast] and returns the rest.
  WindowCounts Retain(WindowId aFirst, WindowId aLast)
  {
    const std::scoped_lock lock(m_mutex);
    RetainWindows(m_counts, aFirst, aLast);
    return m_counts;
  }

private:
  std::mutex m_mutex;
  WindowCounts m_counts;
};

} // namespace heatherdeal::usage
