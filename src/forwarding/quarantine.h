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

/// Policy for requests that crash upstreams.
struct QuarantinePolicy
{
  /// Number of distinct upstreams that must fail while they run a request
  /// before the request is refused.
  uint32_t m_minFailedUpstreams = 2;
  /// How long a request stays suspect after its last failure, and how long it
  /// stays refused.
  core::Duration m_suspectDuration = std::chrono::seconds(60);
  core::Duration m_refusalDuration = std::chrono::minutes(10);
  /// Maximum number of suspect and refused requests.
  size_t m_maxEntries = 4096;
};

/// A request that was in flight at upstreams when their connections broke.
struct SuspectRequest
{
  std::set<core::UpstreamId> m_failedUpstreams;
  core::Instant m_expiresAt{};
  /// True once the request is refused rather than only suspect.
  bool m_refused = false;
};

/// Suspect and refused requests by the fingerprint of their content.
struct QuarantineState
{
  std::map<uint64_t, SuspectRequest> m_requests;
};

/// Records that the connection to an upstream broke while the request was in
/// flight there. Returns true if the request is refused from now on.
bool
RecordUpstreamFailure(QuarantineState& aState,
                      const QuarantinePolicy& aPolicy,
                      uint64_t aFingerprint,
                      const core::UpstreamId& aUpstream,
                      core::Instant aNow);

/// Removes the suspicion of a request that has completed. Has no effect on a
/// refused request.
void
ClearSuspicion(QuarantineState& aState, uint64_t aFingerprint);

/// Returns true if the request is refused at the given time.
bool
IsRefused(const QuarantineState& aState,
          uint64_t aFingerprint,
          core::Instant aNow);

} // namespace heatherdeal::forwarding
