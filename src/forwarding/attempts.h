#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "core/failure.h"
#include "core/instant.h"

namespace heatherdeal::forwarding {

/// What a call allows.
struct CallFacts
{
  /// Running it twice does no harm.
  bool m_idempotent = false;
  uint32_t m_maxAttempts = 1;
  core::Instant m_deadline{};
};

/// Retries as a share of the calls, so that they cannot multiply a fault.
struct RetryBudgetPolicy
{
  /// Retries earned by each call.
  double m_share = 0.1;
  double m_burst = 10.0;
};

struct RetryBudgetState
{
  double m_available = 10.0;
};

/// What has become of a call so far.
struct CallProgress
{
  uint32_t m_attempts = 0;
  /// A part of an answer has been sent to the caller.
  bool m_answerBegan = false;
  /// The failure that leaves most doubt whether the call ran.
  std::optional<core::Failure> m_gravest;
};

/// Send the call to another upstream.
struct TryAgain
{};

/// Tell the caller.
struct GiveUp
{
  core::Failure m_failure;
};

/// End the connection without an end mark: the answer cannot be completed.
struct BreakOff
{};

using NextStep = std::variant<TryAgain, GiveUp, BreakOff>;

void
NoteCall(RetryBudgetState& aBudget, const RetryBudgetPolicy& aPolicy);

/// Decides after a failed attempt. Doubt about an earlier attempt sticks:
/// the failure told to the caller never says "not run" if one may have.
NextStep
AfterFailure(CallProgress& aProgress,
             const CallFacts& aFacts,
             RetryBudgetState& aBudget,
             const core::Failure& aFailure,
             core::Instant aNow);

} // namespace heatherdeal::forwarding
