#include "gossip/members.h"

#include <algorithm>
#include <span>

namespace heatherdeal::gossip {

namespace {

using Effects = std::vector<GossipEffect>;

bool
IsNewer(const HostStatus& aReceived, const HostStatus& aKnown)
{
  if (aReceived.m_incarnation != aKnown.m_incarnation) {
    return aReceived.m_incarnation > aKnown.m_incarnation;
  }
  return aReceived.m_heartbeat > aKnown.m_heartbeat;
}

/// Stores the status of another host if it is newer than the known one. If the
/// status is about this host, raises the incarnation of this host above it.
void
MergeHostStatus(GossipState& aState,
                const HostStatus& aStatus,
                core::Instant aNow,
                Effects& aEffects)
{
  if (aStatus.m_host == aState.m_self.m_host) {
    // A status from before a restart of this host is still in circulation. A
    // higher incarnation lets the current status replace it.
    if (IsNewer(aStatus, aState.m_self)) {
      aState.m_self.m_incarnation = aStatus.m_incarnation + 1;
    }
    return;
  }
  const auto found = aState.m_members.find(aStatus.m_host);
  const bool isKnown = found != aState.m_members.end();
  if (isKnown && !IsNewer(aStatus, found->second.m_hostStatus)) {
    return;
  }
  const bool wasLeaving = isKnown && found->second.m_hostStatus.m_leaving;
  aState.m_members[aStatus.m_host] = { aStatus, aNow };
  if (aStatus.m_leaving != wasLeaving) {
    aEffects.push_back(SetHostLeaving{ aStatus.m_host, aStatus.m_leaving });
  }
}

/// Stores a weight version and notifies listeners if it is newer than the known
/// one.
void
MergeVersion(GossipState& aState,
             const VersionUpdate& aUpdate,
             Effects& aEffects)
{
  core::WeightVersion& knownVersion = aState.m_versions[aUpdate.m_weights];
  if (aUpdate.m_version > knownVersion) {
    knownVersion = aUpdate.m_version;
    aEffects.push_back(NotifyVersion{ aUpdate });
  }
}

/// Stores the revision and returns true if it is higher than the known one.
bool
MergeMissedChanges(GossipState& aState, const MissedChanges& aChanges)
{
  uint64_t& knownRevision = aState.m_missedRevisions[aChanges.m_kind];
  if (aChanges.m_revision <= knownRevision) {
    return false;
  }
  knownRevision = aChanges.m_revision;
  return true;
}

Digest
MakeDigest(GossipState& aState)
{
  Digest digest;
  digest.m_hosts.push_back(aState.m_self);
  std::vector<const Member*> members;
  for (const auto& [name, member] : aState.m_members) {
    members.push_back(&member);
  }
  // A new random sample for each digest: choosing the most recent statuses
  // would omit the same hosts in every round.
  const size_t count = std::min<size_t>({ members.size(),
                                          aState.m_policy.m_piggybackedHosts,
                                          kMaxHostsPerDigest - 1 });
  for (size_t i = 0; i < count; ++i) {
    const size_t swapIndex = i + aState.m_random() % (members.size() - i);
    std::swap(members[i], members[swapIndex]);
  }
  for (size_t i = 0; i < count; ++i) {
    digest.m_hosts.push_back(members[i]->m_hostStatus);
  }
  for (const auto& [weights, version] : aState.m_versions) {
    // The receiver rejects a digest with a longer name as a whole.
    const bool fits = digest.m_versions.size() < kMaxVersionsPerDigest &&
                      weights.size() <= kMaxNameBytes;
    if (fits) {
      digest.m_versions.push_back({ weights, version });
    }
  }
  for (const auto& [kind, revision] : aState.m_missedRevisions) {
    if (digest.m_missedChanges.size() < kMaxMissedChangesPerDigest) {
      digest.m_missedChanges.push_back({ kind, revision });
    }
  }
  return digest;
}

/// Adds random peers that have not been chosen yet, until aTotal are chosen or
/// none is left.
void
ChooseRandomPeers(GossipState& aState,
                  std::span<const std::string> aPeers,
                  size_t aTotal,
                  std::vector<std::string>& aChosen)
{
  std::vector<const std::string*> candidates;
  for (const std::string& peer : aPeers) {
    if (std::ranges::find(aChosen, peer) == aChosen.end()) {
      candidates.push_back(&peer);
    }
  }
  while (aChosen.size() < aTotal && !candidates.empty()) {
    std::swap(candidates[aState.m_random() % candidates.size()],
              candidates.back());
    aChosen.push_back(*candidates.back());
    candidates.pop_back();
  }
}

/// Chooses m_fanout peers, most of them in the own failure domain, where
/// traffic is cheap and which a partition does not cut off.
std::vector<std::string>
ChoosePeers(GossipState& aState)
{
  const size_t fanout = aState.m_policy.m_fanout;
  const size_t maxLocal =
    fanout - std::min<size_t>(fanout, aState.m_policy.m_remoteFanout);
  std::vector<std::string> chosen;
  ChooseRandomPeers(aState, aState.m_localPeers, maxLocal, chosen);
  ChooseRandomPeers(aState, aState.m_remotePeers, fanout, chosen);
  ChooseRandomPeers(aState, aState.m_localPeers, fanout, chosen);
  const size_t watched = std::min<size_t>(aState.m_policy.m_maxWatchedPeers,
                                          aState.m_watchedPeers.size());
  ChooseRandomPeers(
    aState, aState.m_watchedPeers, chosen.size() + watched, chosen);
  return chosen;
}

void
SendDigestToPeers(GossipState& aState, Effects& aEffects)
{
  if (aState.m_peers.empty()) {
    return;
  }
  const Digest digest = MakeDigest(aState);
  for (const std::string& peer : ChoosePeers(aState)) {
    aEffects.push_back(SendDigest{ peer, digest });
  }
}

void
HandleEvent(GossipState& aState,
            const PeersChanged& aEvent,
            core::Instant,
            Effects&)
{
  aState.m_peers.clear();
  aState.m_localPeers.clear();
  aState.m_remotePeers.clear();
  aState.m_watchedPeers.clear();
  for (const std::string& host : aEvent.m_hosts) {
    if (host == aState.m_self.m_host) {
      continue;
    }
    const bool isLocal = aEvent.m_localHosts.contains(host);
    aState.m_peers.push_back(host);
    (isLocal ? aState.m_localPeers : aState.m_remotePeers).push_back(host);
    if (aEvent.m_watchGroup.contains(host)) {
      aState.m_watchedPeers.push_back(host);
    }
  }
  std::erase_if(aState.m_members, [&aState](const auto& aEntry) {
    return std::ranges::find(aState.m_peers, aEntry.first) ==
           aState.m_peers.end();
  });
}

void
HandleEvent(GossipState& aState,
            const DigestReceived& aEvent,
            core::Instant aNow,
            Effects& aEffects)
{
  if (aEvent.m_digest.m_hosts.empty()) {
    return;
  }
  for (const HostStatus& status : aEvent.m_digest.m_hosts) {
    MergeHostStatus(aState, status, aNow, aEffects);
  }
  for (const VersionUpdate& update : aEvent.m_digest.m_versions) {
    MergeVersion(aState, update, aEffects);
  }
  bool hasMissedChanges = false;
  for (const MissedChanges& changes : aEvent.m_digest.m_missedChanges) {
    if (MergeMissedChanges(aState, changes)) {
      aEffects.push_back(RelistKind{ changes });
      hasMissedChanges = true;
    }
  }
  if (hasMissedChanges) {
    // Missed changes are urgent and are forwarded before the next round.
    SendDigestToPeers(aState, aEffects);
  }
  const HostStatus& sender = aEvent.m_digest.m_hosts.front();
  if (sender.m_generation > aState.m_self.m_generation) {
    aEffects.push_back(
      FetchConfiguration{ sender.m_host, sender.m_generation });
  }
}

void
HandleEvent(GossipState& aState,
            const RoundDue&,
            core::Instant aNow,
            Effects& aEffects)
{
  if (aNow < aState.m_nextRoundAt) {
    return;
  }
  const bool isFirstRound = aState.m_nextRoundAt == core::Instant{};
  aState.m_lastRoundDelay =
    isFirstRound ? core::Duration{} : aNow - aState.m_nextRoundAt;
  aState.m_self.m_heartbeat += 1;
  aState.m_nextRoundAt = aNow + aState.m_policy.m_roundInterval;
  SendDigestToPeers(aState, aEffects);
}

void
HandleEvent(GossipState& aState,
            const GenerationActivated& aEvent,
            core::Instant,
            Effects& aEffects)
{
  if (aEvent.m_generation <= aState.m_self.m_generation) {
    return;
  }
  aState.m_self.m_generation = aEvent.m_generation;
  aState.m_self.m_heartbeat += 1;
  // Peers learn of the new generation before the next round.
  SendDigestToPeers(aState, aEffects);
}

void
HandleEvent(GossipState& aState,
            const VersionLearned& aEvent,
            core::Instant,
            Effects& aEffects)
{
  Effects notifications;
  MergeVersion(aState, aEvent.m_update, notifications);
  if (!notifications.empty()) {
    SendDigestToPeers(aState, aEffects);
  }
}

void
HandleEvent(GossipState& aState,
            const MissedChangesDetected& aEvent,
            core::Instant,
            Effects& aEffects)
{
  if (MergeMissedChanges(aState, aEvent.m_changes)) {
    SendDigestToPeers(aState, aEffects);
  }
}

void
HandleEvent(GossipState& aState,
            const LeavingStarted&,
            core::Instant,
            Effects& aEffects)
{
  aState.m_self.m_leaving = true;
  aState.m_self.m_heartbeat += 1;
  SendDigestToPeers(aState, aEffects);
}

void
HandleEvent(GossipState& aState,
            const NewsAvailable&,
            core::Instant,
            Effects& aEffects)
{
  SendDigestToPeers(aState, aEffects);
}

} // namespace

void
Apply(GossipState& aState,
      const GossipEvent& aEvent,
      core::Instant aNow,
      std::vector<GossipEffect>& aEffects)
{
  std::visit(
    [&](const auto& aTyped) { HandleEvent(aState, aTyped, aNow, aEffects); },
    aEvent);
}

core::Instant
NextDeadline(const GossipState& aState)
{
  return aState.m_nextRoundAt;
}

bool
IsSuspect(const GossipState& aState, std::string_view aHost, core::Instant aNow)
{
  const auto found = aState.m_members.find(aHost);
  if (found == aState.m_members.end()) {
    return false;
  }
  const core::Duration sinceUpdate = aNow - found->second.m_updatedAt;
  const auto hostCount = static_cast<int64_t>(aState.m_members.size());
  // Members of a watch group send each other a digest in every round, however
  // many hosts there are.
  const bool isWatched =
    aState.m_watchedPeers.size() <= aState.m_policy.m_maxWatchedPeers &&
    std::ranges::find(aState.m_watchedPeers, aHost) !=
      aState.m_watchedPeers.end();
  const core::Duration suspicionTimeout =
    isWatched ? aState.m_policy.m_suspectAfter
              : std::max(aState.m_policy.m_suspectAfter,
                         aState.m_policy.m_suspectAfterPerHost * hostCount);
  // If this host was delayed itself, unread digests may still be queued on it.
  return sinceUpdate > suspicionTimeout + 2 * aState.m_lastRoundDelay;
}

} // namespace heatherdeal::gossip
