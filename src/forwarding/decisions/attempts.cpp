#include "forwarding/attempts.h"

#include <algorithm>

namespace heatherdeal::forwarding {

namespace {

bool
LeavesMoreDoubt(const core::Failure& aLeft, const core::Failure& aRight)
{
  return core::ExecutedOf(aLeft) > core::ExecutedOf(aRight);
}

bool
MayRunAgain(const CallFacts& aFacts, const CallProgress& aProgress)
{
  return aFacts.m_idempotent ||
         core::ExecutedOf(*aProgress.m_gravest) == core::Executed::No;
}

/// Returns true for failures that would be the same at any other upstream.
bool
IsFinal(const core::Failure& aFailure)
{
  return std::holds_alternative<core::NoUpstream>(aFailure) ||
         std::holds_alternative<core::Quarantined>(aFailure) ||
         std::holds_alternative<core::InvalidInput>(aFailure);
}

bool
TakeRetry(RetryBudgetState& aBudget)
{
  if (aBudget.m_available < 1.0) {
    return false;
  }
  aBudget.m_available -= 1.0;
  return true;
}

} // namespace

void
NoteCall(RetryBudgetState& aBudget, const RetryBudgetPolicy& aPolicy)
{
  aBudget.m_available =
    std::min(aPolicy.m_burst, aBudget.m_available + aPolicy.m_share);
}

NextStep
AfterFailure(CallProgress& aProgress,
             const CallFacts& aFacts,
             RetryBudgetState& aBudget,
             const core::Failure& aFailure,
             core::Instant aNow)
{
  aProgress.m_attempts += 1;
  if (!aProgress.m_gravest || LeavesMoreDoubt(aFailure, *aProgress.m_gravest)) {
    aProgress.m_gravest = aFailure;
  }
  if (aProgress.m_answerBegan) {
    return BreakOff{};
  }
  const bool mayRetry = !IsFinal(aFailure) && MayRunAgain(aFacts, aProgress) &&
                        aProgress.m_attempts < aFacts.m_maxAttempts &&
                        aNow < aFacts.m_deadline && TakeRetry(aBudget);
  if (mayRetry) {
    return TryAgain{};
  }
  return GiveUp{ *aProgress.m_gravest };
}

} // namespace heatherdeal::forwarding
