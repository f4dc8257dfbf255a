#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/instant.h"

namespace heatherdeal::forwarding {

struct QuarantinePolicy
{
  /// Upstreams that a request must have broken to be refused.
  uint32_t m_upstreams = 2;
  /// How long a request is suspected, and how long it is refused.
  core::Duration m_suspectTime = std::chrono::seconds(60);
  core::Duration m_refuseTime = std::chrono::minutes(10);
  size_t m_maxEntries = 4096;
};

/// A request that was in flight when upstreams broke.
struct SuspectRequest
{
  std::set<core::UpstreamId> m_broken;
  core::Instant m_until{};
  bool m_refused = false;
};

/// Requests by the fingerprint of their content.
struct QuarantineState
{
  std::map<uint64_t, SuspectRequest> m_requests;
};

/// Notes that a connection broke while the request ran there. True if the
/// request is refused from now on.
bool
NoteBroken(QuarantineState& aState,
           const QuarantinePolicy& aPolicy,
           uint64_t aFingerprint,
           const core::UpstreamId& aUpstream,
           core::Instant aNow);

/// Clears a request that has run to its end.
void
NoteAnswered(QuarantineState& aState, uint64_t aFingerprint);

bool
IsRefused(const QuarantineState& aState,
          uint64_t aFingerprint,
          core::Instant aNow);

} // namespace heatherdeal::forwarding
