#pragma once

#include <cstdint>

#include "core/instant.h"

namespace heatherdeal::objectstore {

/// The purpose of a call to the object API, highest priority first.
enum class CallPriority : uint8_t
{
  Lease,
  Configuration,
  Status,
};

/// Parameters of the token bucket that limits this process's calls to the
/// object API.
struct CallBudgetPolicy
{
  double m_callsPerSecond = 20.0;
  /// Capacity of the bucket, in calls.
  double m_burst = 20.0;
};

/// The fill level of the token bucket.
struct CallBudgetState
{
  double m_availableCalls = 0.0;
  core::Instant m_refilledAt{};
};

/// Takes one call out of the budget and returns true, or returns false if the
/// budget is exhausted for this priority. Part of the burst is reserved for
/// higher priorities.
bool
TryTakeCall(CallBudgetState& aState,
            const CallBudgetPolicy& aPolicy,
            CallPriority aPriority,
            core::Instant aNow);

} // namespace heatherdeal::objectstore
