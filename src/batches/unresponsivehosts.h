#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/instant.h"

namespace heatherdeal::batches {

/// Hosts that did not respond in time, and the time until which calls avoid
/// them.
struct UnresponsiveHosts
{
  std::map<std::string, core::Instant, std::less<>> m_avoidedUntil;
};

/// Records that a call to the host failed after aElapsed. An immediate failure,
/// such as a refused connection, shows that the host is reachable; only a
/// failure after a long time makes calls avoid the host.
void
RecordFailure(UnresponsiveHosts& aHosts,
              std::string_view aHost,
              core::Duration aElapsed,
              core::Instant aNow);

/// Records that the host responded, so that calls no longer avoid it.
void
RecordResponse(UnresponsiveHosts& aHosts, std::string_view aHost);

/// True while calls avoid the host.
bool
IsAvoided(const UnresponsiveHosts& aHosts,
          std::string_view aHost,
          core::Instant aNow);

/// True if a call that failed after aElapsed suggests that the host is down or
/// unreachable.
bool
IsUnresponsive(core::Duration aElapsed);

} // namespace heatherdeal::batches
