#pragma once

#include <chrono>

namespace heatherdeal::core {

/// Clock type of the process's monotonic time. It has no now(), so that
/// decisions receive the current time as an argument.
struct MonotonicTimeline
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicTimeline, duration>;
  static constexpr bool is_steady = true;
};

/// A point in monotonic time, with microsecond resolution. Not comparable
/// between processes.
using Instant = MonotonicTimeline::time_point;

/// A time span in microseconds.
using Duration = std::chrono::microseconds;

} // namespace heatherdeal::core
