#include "routing/ejection.h"

#include <algorithm>

namespace heatherdeal::routing {

namespace {

constexpr uint32_t kMaxDoublings = 10;
constexpr size_t kPercent = 100;

} // namespace

void
RecordSuccess(EjectionState& aState)
{
  aState.m_consecutiveFailures = 0;
  aState.m_ejectionCount = 0;
}

void
RecordFailure(EjectionState& aState,
              const EjectionPolicy& aPolicy,
              const PoolHealth& aPool,
              core::Instant aNow)
{
  aState.m_consecutiveFailures += 1;
  if (aState.m_consecutiveFailures < aPolicy.m_failureThreshold) {
    return;
  }
  const size_t maxEjected =
    aPool.m_upstreamCount * aPolicy.m_maxEjectedPercent / kPercent;
  if (aPool.m_ejectedCount >= maxEjected) {
    return;
  }
  const uint32_t doublings = std::min(aState.m_ejectionCount, kMaxDoublings);
  const core::Duration duration =
    aPolicy.m_initialDuration * (1LL << doublings);
  aState.m_ejectionCount += 1;
  aState.m_consecutiveFailures = 0;
  aState.m_ejectionEnd = aNow + std::min(duration, aPolicy.m_maxDuration);
}

} // namespace heatherdeal::routing
