#include "forwarding/quarantine.h"

#include <algorithm>

namespace heatherdeal::forwarding {

namespace {

/// Removes expired entries and, if the limit is still reached, the entry that
/// expires first.
void
MakeRoom(QuarantineState& aState,
         const QuarantinePolicy& aPolicy,
         core::Instant aNow)
{
  std::erase_if(aState.m_requests, [aNow](const auto& aEntry) {
    return aEntry.second.m_until <= aNow;
  });
  if (aState.m_requests.size() < aPolicy.m_maxEntries) {
    return;
  }
  const auto earliest =
    std::ranges::min_element(aState.m_requests, {}, [](const auto& aEntry) {
      return aEntry.second.m_until;
    });
  aState.m_requests.erase(earliest);
}

} // namespace

bool
NoteBroken(QuarantineState& aState,
           const QuarantinePolicy& aPolicy,
           uint64_t aFingerprint,
           const core::UpstreamId& aUpstream,
           core::Instant aNow)
{
  if (!aState.m_requests.contains(aFingerprint)) {
    MakeRoom(aState, aPolicy, aNow);
  }
  SuspectRequest& suspect = aState.m_requests[aFingerprint];
  if (suspect.m_until <= aNow) {
    suspect = {};
  }
  suspect.m_broken.insert(aUpstream);
  suspect.m_refused = suspect.m_broken.size() >= aPolicy.m_upstreams;
  suspect.m_until =
    aNow + (suspect.m_refused ? aPolicy.m_refuseTime : aPolicy.m_suspectTime);
  return suspect.m_refused;
}

void
NoteAnswered(QuarantineState& aState, uint64_t aFingerprint)
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
         found->second.m_until > aNow;
}

} // namespace heatherdeal::forwarding
