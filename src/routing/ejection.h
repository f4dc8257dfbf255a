#pragma once

#include <cstdint>

#include "core/instant.h"

namespace heatherdeal::routing {

struct EjectionPolicy
{
  /// Failures in a row after which an upstream is left out.
  uint32_t m_failures = 3;
  core::Duration m_first = std::chrono::seconds(1);
  core::Duration m_greatest = std::chrono::seconds(30);
  /// At most this share of a service's upstreams is left out, in percent.
  uint32_t m_capPercent = 50;
};

/// The recent results of one upstream.
struct EjectionState
{
  uint32_t m_failuresInRow = 0;
  uint32_t m_ejections = 0;
  core::Instant m_until{};
};

/// How many upstreams a service has, and how many are left out now.
struct PoolHealth
{
  size_t m_upstreams = 0;
  size_t m_ejected = 0;
};

void
NoteSuccess(EjectionState& aState);

/// Leaves the upstream out if it fails too often and the cap allows it.
void
NoteFailure(EjectionState& aState,
            const EjectionPolicy& aPolicy,
            const PoolHealth& aPool,
            core::Instant aNow);

} // namespace heatherdeal::routing
