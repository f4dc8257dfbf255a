#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/instant.h"

namespace heatherdeal::batches {

/// Hosts that did not respond in time, and the time until which calls avoid
/// them.
struct Reach
{
  std::map<std::string, core::Instant, std::less<>> m_restsUntil;
};

/// Records that a call to the host failed after aTook. An immediate failure,
/// such as a refused connection, shows that the host is reachable; only a
/// failure after a long time makes calls avoid the host.
void
NoteFailure(Reach& aReach,
            std::string_view aHost,
            core::Duration aTook,
            core::Instant aNow);

/// Records that the host responded, so that calls no longer avoid it.
void
NoteAnswer(Reach& aReach, std::string_view aHost);

/// True while calls avoid the host.
bool
Rests(const Reach& aReach, std::string_view aHost, core::Instant aNow);

/// True if a call that failed after aTook suggests that the host is down or
/// unreachable.
bool
IsSilence(core::Duration aTook);

} // namespace heatherdeal::batches
