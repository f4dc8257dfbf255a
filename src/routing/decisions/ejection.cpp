#include "routing/ejection.h"

#include <algorithm>

namespace heatherdeal::routing {

namespace {

constexpr uint32_t kMaxDoublings = 10;
constexpr size_t kPercent = 100;

} // namespace

void
NoteSuccess(EjectionState& aState)
{
  aState.m_failuresInRow = 0;
  aState.m_ejections = 0;
}

void
NoteFailure(EjectionState& aState,
            const EjectionPolicy& aPolicy,
            const PoolHealth& aPool,
            core::Instant aNow)
{
  aState.m_failuresInRow += 1;
  if (aState.m_failuresInRow < aPolicy.m_failures) {
    return;
  }
  const size_t allowed = aPool.m_upstreams * aPolicy.m_capPercent / kPercent;
  if (aPool.m_ejected >= allowed) {
    return;
  }
  const uint32_t doublings = std::min(aState.m_ejections, kMaxDoublings);
  const core::Duration length = aPolicy.m_first * (1LL << doublings);
  aState.m_ejections += 1;
  aState.m_failuresInRow = 0;
  aState.m_until = aNow + std::min(length, aPolicy.m_greatest);
}

} // namespace heatherdeal::routing
