#include "objectstore/backoff.h"

#include <algorithm>
#include <random>

namespace heatherdeal::objectstore {

namespace {

constexpr uint32_t kMaxDoublings = 16;

} // namespace

core::Instant
NextRetryTime(BackoffState& aState,
              const BackoffPolicy& aPolicy,
              core::Instant aNow)
{
  const uint32_t doublings =
    std::min(aState.m_consecutiveFailures, kMaxDoublings);
  aState.m_consecutiveFailures += 1;
  const core::Duration doubled = aPolicy.m_initialDelay * (1LL << doublings);
  const core::Duration delay = std::min(doubled, aPolicy.m_maxDelay);
  std::minstd_rand generator(static_cast<uint32_t>(
    aState.m_seed * 2654435761ULL + aState.m_consecutiveFailures));
  std::uniform_int_distribution<int64_t> jitter(delay.count() / 2,
                                                delay.count());
  return aNow + core::Duration(jitter(generator));
}

} // namespace heatherdeal::objectstore
