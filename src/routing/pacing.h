#pragma once

#include "core/instant.h"

namespace heatherdeal::routing {

/// Permits that pace the requests of this host to an upstream. At most those of
/// 1.5 seconds are kept, or one, so that few are saved up for a burst.
struct PacedPermits
{
  double m_permitsPerSecond = 0.0;
  /// As of m_updatedAt. Negative if requests were sent without a permit.
  double m_available = 0.0;
  core::Instant m_updatedAt{};
};

/// Changes the rate from aNow on. Permits that are available are kept.
void
SetRate(PacedPermits& aPermits, double aPermitsPerSecond, core::Instant aNow);

/// Returns the time from which a permit is available, Instant::max() if never.
core::Instant
FindNextPermit(const PacedPermits& aPermits);

/// Takes a permit, whether or not one is available.
void
TakePermit(PacedPermits& aPermits, core::Instant aNow);

} // namespace heatherdeal::routing
