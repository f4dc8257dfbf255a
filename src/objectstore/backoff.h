#pragma once

#include <cstdint>

#include "core/instant.h"

namespace heatherdeal::objectstore {

struct BackoffPolicy
{
  core::Duration m_first = std::chrono::milliseconds(50);
  core::Duration m_greatest = std::chrono::seconds(5);
};

/// Counts failures in a row and draws from its own seeded sequence.
struct BackoffState
{
  uint32_t m_failures = 0;
  uint64_t m_seed = 1;
};

/// The instant of the next try after a failure: exponential, with jitter
/// between half and all of the delay.
core::Instant
NextTry(BackoffState& aState, const BackoffPolicy& aPolicy, core::Instant aNow);

} // namespace heatherdeal::objectstore
