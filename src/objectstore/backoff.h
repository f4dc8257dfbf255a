#pragma once

#include <cstdint>

#include "core/instant.h"

namespace heatherdeal::objectstore {

/// Configures the delays between retries.
struct BackoffPolicy
{
  core::Duration m_initialDelay = std::chrono::milliseconds(50);
  core::Duration m_maxDelay = std::chrono::seconds(5);
};

/// Holds the number of consecutive failures and the seed of the jitter.
struct BackoffState
{
  uint32_t m_consecutiveFailures = 0;
  uint64_t m_seed = 1;
};

/// Records a failure and returns the time of the next retry. The delay grows
/// exponentially up to the policy's maximum; jitter picks a value between half
/// of it and all of it.
core::Instant
NextRetryTime(BackoffState& aState,
              const BackoffPolicy& aPolicy,
              core::Instant aNow);

} // namespace heatherdeal::objectstore
