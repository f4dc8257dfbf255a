#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "core/failure.h"
#include "core/instant.h"

namespace heatherdeal::forwarding {

/// Constraints on the retries of a call.
struct RetryConstraints
{
  /// True if the call may safely run more than once.
  bool m_idempotent = false;
  /// Maximum number of attempts, including the first one.
  uint32_t m_maxAttempts = 1;
  core::Instant m_deadline{};
};

/// Limits retries to a fraction of the calls, so that retries do not amplify
/// an outage.
struct RetryBudgetPolicy
{
  /// Retries that each call adds to the budget.
  double m_retriesPerCall = 0.1;
  /// Maximum number of retries that the budget accumulates.
  double m_maxRetries = 10.0;
};

/// The retries that are currently available.
struct RetryBudgetState
{
  double m_availableRetries = 10.0;
};

/// Progress of a call over its attempts.
struct CallProgress
{
  /// Number of failed attempts.
  uint32_t m_attempts = 0;
  /// True if part of a response has been sent to the caller.
  bool m_responseStarted = false;
  /// The failure that is reported if the call fails: of all failures so far,
  /// the one that makes it most likely that the call ran at an upstream.
  std::optional<core::Failure> m_reportedFailure;
};

/// Retry the call at another upstream.
struct RetryCall
{};

/// Fail the call and report the failure to the caller.
struct FailCall
{
  core::Failure m_failure;
};

/// Close the connection without completing the response that has been started.
struct AbortResponse
{};

/// What to do after a failed attempt.
using NextStep = std::variant<RetryCall, FailCall, AbortResponse>;

/// Adds the retries that one call earns to the budget.
void
CreditRetryBudget(RetryBudgetState& aBudget, const RetryBudgetPolicy& aPolicy);

/// Records a failed attempt and returns the next step. If any attempt may have
/// run, the failure reported to the caller never says "not run", even if later
/// attempts certainly did not run.
NextStep
DecideAfterFailure(CallProgress& aProgress,
                   const RetryConstraints& aConstraints,
                   RetryBudgetState& aBudget,
                   const core::Failure& aFailure,
                   core::Instant aNow);

} // namespace heatherdeal::forwarding
