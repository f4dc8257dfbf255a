#pragma once

#include <chrono>

namespace heatherdeal::core {

/// Tag of the monotonic time line of one process; it has no now().
struct MonotonicTimeline
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicTimeline, duration>;
  static constexpr bool is_steady = true;
};

/// A point on the monotonic time line, in microseconds.
using Instant = MonotonicTimeline::time_point;

/// A span of time; held only in settings and on the wire.
using Duration = std::chrono::microseconds;

} // namespace heatherdeal::core
