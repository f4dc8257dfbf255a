#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>

#include "core/instant.h"

namespace heatherdeal::objectstore {

/// The latest time at which this host is known to have had the newest state of
/// a watched kind. Any thread.
class ConfirmedTime
{
public:
  /// Returns Instant::min() before the first confirmation.
  core::Instant Read() const
  {
    return core::Instant(core::Duration(m_microseconds.load()));
  }

  /// Records a confirmation; earlier ones than the last have no effect. One
  /// thread at a time.
  void Advance(core::Instant aConfirmedAt)
  {
    const int64_t offered = aConfirmedAt.time_since_epoch().count();
    m_microseconds.store(std::max(m_microseconds.load(), offered));
  }

private:
  std::atomic<int64_t> m_microseconds{
    core::Instant::min().time_since_epoch().count()
  };
};

} // namespace heatherdeal::objectstore
