#include "objectstore/callbudget.h"

#include <algorithm>

namespace heatherdeal::objectstore {

namespace {

// Share of the burst that is reserved for higher priorities, by CallPriority.
constexpr double kReservedShare[] = { 0.0, 0.25, 0.5 };

void
Refill(CallBudgetState& aState,
       const CallBudgetPolicy& aPolicy,
       core::Instant aNow)
{
  const std::chrono::duration<double> elapsed = aNow - aState.m_filledAt;
  const double gained = elapsed.count() * aPolicy.m_callsPerSecond;
  aState.m_available = std::min(aPolicy.m_burst, aState.m_available + gained);
  aState.m_filledAt = aNow;
}

} // namespace

bool
TakeCall(CallBudgetState& aState,
         const CallBudgetPolicy& aPolicy,
         CallPriority aPriority,
         core::Instant aNow)
{
  Refill(aState, aPolicy, aNow);
  const double reserved =
    kReservedShare[static_cast<size_t>(aPriority)] * aPolicy.m_burst;
  if (aState.m_available < reserved + 1.0) {
    return false;
  }
  aState.m_available -= 1.0;
  return true;
}

} // namespace heatherdeal::objectstore
