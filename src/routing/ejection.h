#pragma once

#include <cstdint>

#include "core/instant.h"

namespace heatherdeal::routing {

/// Limits and durations of ejections.
struct EjectionPolicy
{
  /// Number of consecutive failures after which an upstream is ejected.
  uint32_t m_failureThreshold = 3;
  /// Duration of the first ejection. It doubles with each further one.
  core::Duration m_initialDuration = std::chrono::seconds(1);
  core::Duration m_maxDuration = std::chrono::seconds(30);
  /// Maximum percentage of a service's upstreams that are ejected at a time.
  uint32_t m_maxEjectedPercent = 50;
};

/// The ejection state of one upstream.
struct EjectionState
{
  uint32_t m_consecutiveFailures = 0;
  uint32_t m_ejectionCount = 0;
  core::Instant m_ejectionEnd{};
};

/// The number of a service's upstreams, and of those that are ejected now.
struct PoolHealth
{
  size_t m_upstreamCount = 0;
  size_t m_ejectedCount = 0;
};

/// Resets the failure count and the ejection duration. A running ejection still
/// lasts until its end.
void
RecordSuccess(EjectionState& aState);

/// Ejects the upstream if it has reached the failure threshold, unless too many
/// upstreams are ejected already.
void
RecordFailure(EjectionState& aState,
              const EjectionPolicy& aPolicy,
              const PoolHealth& aPool,
              core::Instant aNow);

} // namespace heatherdeal::routing
