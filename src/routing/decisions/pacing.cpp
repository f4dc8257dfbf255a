#include "routing/pacing.h"

#include <algorithm>

namespace heatherdeal::routing {

namespace {

constexpr double kBurstSeconds = 1.5;
constexpr double kMicrosecondsPerSecond = 1e6;
// Waiting longer than this is the same as never for any request.
constexpr core::Duration kMaxWait = std::chrono::hours(1);

void
Refill(PacedPermits& aPermits, core::Instant aNow)
{
  const double elapsedSeconds =
    static_cast<double>((aNow - aPermits.m_updatedAt).count()) /
    kMicrosecondsPerSecond;
  const double maxAvailable =
    std::max(1.0, aPermits.m_permitsPerSecond * kBurstSeconds);
  aPermits.m_available =
    std::min(maxAvailable,
             aPermits.m_available +
               std::max(0.0, elapsedSeconds) * aPermits.m_permitsPerSecond);
  aPermits.m_updatedAt = std::max(aPermits.m_updatedAt, aNow);
}

} // namespace

void
SetRate(PacedPermits& aPermits, double aPermitsPerSecond, core::Instant aNow)
{
  Refill(aPermits, aNow);
  aPermits.m_permitsPerSecond = aPermitsPerSecond;
}

core::Instant
FindNextPermit(const PacedPermits& aPermits)
{
  const double missing = 1.0 - aPermits.m_available;
  if (missing <= 0.0) {
    return aPermits.m_updatedAt;
  }
  const double waitMicroseconds =
    missing * kMicrosecondsPerSecond / aPermits.m_permitsPerSecond;
  const bool isNever =
    !(waitMicroseconds < static_cast<double>(kMaxWait.count()));
  return isNever ? core::Instant::max()
                 : aPermits.m_updatedAt +
                     core::Duration(static_cast<int64_t>(waitMicroseconds) + 1);
}

void
TakePermit(PacedPermits& aPermits, core::Instant aNow)
{
  Refill(aPermits, aNow);
  aPermits.m_available -= 1.0;
}

} // namespace heatherdeal::routing
