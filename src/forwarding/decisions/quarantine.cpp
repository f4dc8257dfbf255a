#include "forwarding/quarantine.h"

#include <algorithm>

namespace heatherdeal::forwarding {

namespace {

/// Removes expired entries and, if the limit is still reached, the entry that
/// expires first.
void
EvictEntries(QuarantineState& aState,
             const QuarantinePolicy& aPolicy,
             core::Instant aNow)
{
  std::erase_if(aState.m_requests, [aNow](const auto& aEntry) {
    return aEntry.second.m_expiresAt <= aNow;
  });
  if (aState.m_requests.size() < aPolicy.m_maxEntries) {
    return;
  }
  const auto firstToExpire =
    std::ranges::min_element(aState.m_requests, {}, [](const auto& aEntry) {
      return aEntry.second.m_expiresAt;
    });
  aState.m_requests.erase(firstToExpire);
}

} // namespace

bool
RecordUpstreamFailure(QuarantineState& aState,
                      const QuarantinePolicy& aPolicy,
                      uint64_t aFingerprint,
                      const core::UpstreamId& aUpstream,
                      core::Instant aNow)
{
  if (!aState.m_requests.contains(aFingerprint)) {
    EvictEntries(aState, aPolicy, aNow);
  }
  SuspectRequest& suspect = aState.m_requests[aFingerprint];
  if (suspect.m_expiresAt <= aNow) {
    suspect = {};
  }
  suspect.m_failedUpstreams.insert(aUpstream);
  suspect.m_refused =
    suspect.m_failedUpstreams.size() >= aPolicy.m_minFailedUpstreams;
  suspect.m_expiresAt = aNow + (suspect.m_refused ? aPolicy.m_refusalDuration
                                                  : aPolicy.m_suspectDuration);
  return suspect.m_refused;
}

void
ClearSuspicion(QuarantineState& aState, uint64_t aFingerprint)
{
  const auto found = aState.m_requests.find(aFingerprint);
  if (found != aState.m_requests.end() && !found->second.m_refused) {
    aState.m_requests.erase(found);
  }
}

bool
IsRefused(const QuarantineState& aState,
          uint64_t aFingerprint,
          core::Instant aNow)
{
  const auto found = aState.m_requests.find(aFingerprint);
  return found != aState.m_requests.end() && found->second.m_refused &&
         found->second.m_expiresAt > aNow;
}

} // namespace heatherdeal::forwarding
