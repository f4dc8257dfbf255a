#pragma once

#include <cstdint>

#include "core/instant.h"

namespace heatherdeal::objectstore {

/// What a call to the object API is for; the first is served first.
enum class CallPriority : uint8_t
{
  Lease,
  Configuration,
  Status,
};

/// Calls that this process may make: a rate, and how much may be saved up.
struct CallBudgetPolicy
{
  double m_callsPerSecond = 20.0;
  double m_burst = 20.0;
};

struct CallBudgetState
{
  double m_available = 0.0;
  core::Instant m_filledAt{};
};

/// Takes one call out of the budget if its priority may have it. Lower
/// priorities leave a part of the burst to higher ones.
bool
TakeCall(CallBudgetState& aState,
         const CallBudgetPolicy& aPolicy,
         CallPriority aPriority,
         core::Instant aNow);

} // namespace heatherdeal::objectstore
