#include "forwarding/attempts.h"

#include <algorithm>

namespace heatherdeal::forwarding {

namespace {

bool
IsMoreLikelyExecuted(const core::Failure& aLeft, const core::Failure& aRight)
{
  return core::ExecutedOf(aLeft) > core::ExecutedOf(aRight);
}

bool
CanRunAgain(const RetryConstraints& aConstraints, const CallProgress& aProgress)
{
  return aConstraints.m_idempotent ||
         core::ExecutedOf(*aProgress.m_reportedFailure) == core::Executed::No;
}

/// Returns true for failures that would be the same at any other upstream.
bool
IsNonRetryable(const core::Failure& aFailure)
{
  return std::holds_alternative<core::NoUpstream>(aFailure) ||
         std::holds_alternative<core::RateLimited>(aFailure) ||
         std::holds_alternative<core::Quarantined>(aFailure) ||
         std::holds_alternative<core::SoftwareUnavailable>(aFailure) ||
         std::holds_alternative<core::InvalidInput>(aFailure);
}

bool
TryConsumeRetry(RetryBudgetState& aBudget)
{
  if (aBudget.m_availableRetries < 1.0) {
    return false;
  }
  aBudget.m_availableRetries -= 1.0;
  return true;
}

} // namespace

void
CreditRetryBudget(RetryBudgetState& aBudget, const RetryBudgetPolicy& aPolicy)
{
  aBudget.m_availableRetries =
    std::min(aPolicy.m_maxRetries,
             aBudget.m_availableRetries + aPolicy.m_retriesPerCall);
}

NextStep
DecideAfterFailure(CallProgress& aProgress,
                   const RetryConstraints& aConstraints,
                   RetryBudgetState& aBudget,
                   const core::Failure& aFailure,
                   core::Instant aNow)
{
  aProgress.m_attempts += 1;
  if (!aProgress.m_reportedFailure ||
      IsMoreLikelyExecuted(aFailure, *aProgress.m_reportedFailure)) {
    aProgress.m_reportedFailure = aFailure;
  }
  if (aProgress.m_responseStarted) {
    return AbortResponse{};
  }
  const bool shouldRetry =
    !IsNonRetryable(aFailure) && CanRunAgain(aConstraints, aProgress) &&
    aProgress.m_attempts < aConstraints.m_maxAttempts &&
    aNow < aConstraints.m_deadline && TryConsumeRetry(aBudget);
  if (shouldRetry) {
    return RetryCall{};
  }
  return FailCall{ *aProgress.m_reportedFailure };
}

} // namespace heatherdeal::forwarding
