#include "objectstore/callbudget.h"

#include <algorithm>

namespace heatherdeal::objectstore {

namespace {

// Share of the burst that is reserved for higher priorities, by CallPriority.
constexpr double kReservedBurstShare[] = { 0.0, 0.25, 0.5 };

void
Refill(CallBudgetState& aState,
       const CallBudgetPolicy& aPolicy,
       core::Instant aNow)
{
  const std::chrono::duration<double> elapsed = aNow - aState.m_refilledAt;
  const double refilledCalls = elapsed.count() * aPolicy.m_callsPerSecond;
  aState.m_availableCalls =
    std::min(aPolicy.m_burst, aState.m_availableCalls + refilledCalls);
  aState.m_refilledAt = aNow;
}

} // namespace

bool
TryTakeCall(CallBudgetState& aState,
            const CallBudgetPolicy& aPolicy,
            CallPriority aPriority,
            core::Instant aNow)
{
  Refill(aState, aPolicy, aNow);
  const double reservedCalls =
    kReservedBurstShare[static_cast<size_t>(aPriority)] * aPolicy.m_burst;
  if (aState.m_availableCalls < reservedCalls + 1.0) {
    return false;
  }
  aState.m_availableCalls -= 1.0;
  return true;
}

} // namespace heatherdeal::objectstore
