#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/instant.h"

namespace heatherdeal::batches {

/// Hosts that have been silent to this one, and until when they are not asked.
struct Reach
{
  std::map<std::string, core::Instant, std::less<>> m_restsUntil;
};

/// A call to the host has failed after so long. One that is refused at once
/// tells that the host is there; only silence counts.
void
NoteFailure(Reach& aReach,
            std::string_view aHost,
            core::Duration aTook,
            core::Instant aNow);

void
NoteAnswer(Reach& aReach, std::string_view aHost);

/// True while the host is left alone.
bool
Rests(const Reach& aReach, std::string_view aHost, core::Instant aNow);

/// True for a failure that took so long that the host, or the way to it, must
/// be taken for gone.
bool
IsSilence(core::Duration aTook);

} // namespace heatherdeal::batches
