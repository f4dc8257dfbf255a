#include "gossip/members.h"

#include <algorithm>

namespace heatherdeal::gossip {

namespace {

using Effects = std::vector<GossipEffect>;

bool
IsNewer(const HostNews& aOffered, const HostNews& aKnown)
{
  if (aOffered.m_incarnation != aKnown.m_incarnation) {
    return aOffered.m_incarnation > aKnown.m_incarnation;
  }
  return aOffered.m_heartbeat > aKnown.m_heartbeat;
}

void
TakeHost(GossipState& aState,
         const HostNews& aNews,
         core::Instant aNow,
         Effects& aEffects)
{
  if (aNews.m_host == aState.m_self.m_host) {
    // A state from before a restart of this host is still in circulation. A
    // higher incarnation lets the current state replace it.
    if (IsNewer(aNews, aState.m_self)) {
      aState.m_self.m_incarnation = aNews.m_incarnation + 1;
    }
    return;
  }
  const auto found = aState.m_members.find(aNews.m_host);
  const bool known = found != aState.m_members.end();
  if (known && !IsNewer(aNews, found->second.m_news)) {
    return;
  }
  const bool wasLeaving = known && found->second.m_news.m_leaving;
  aState.m_members[aNews.m_host] = { aNews, aNow };
  if (aNews.m_leaving != wasLeaving) {
    aEffects.push_back(LeavingHeard{ aNews.m_host, aNews.m_leaving });
  }
}

void
TakeVersion(GossipState& aState, const VersionNews& aNews, Effects& aEffects)
{
  core::WeightVersion& known = aState.m_versions[aNews.m_weights];
  if (aNews.m_version > known) {
    known = aNews.m_version;
    aEffects.push_back(VersionHeard{ aNews });
  }
}

/// Returns true if the revision is higher than the one known before.
bool
TakeKind(GossipState& aState, const KindNews& aNews)
{
  uint64_t& known = aState.m_kinds[aNews.m_kind];
  if (aNews.m_revision <= known) {
    return false;
  }
  known = aNews.m_revision;
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
  // A new random sample for each digest: choosing the most recent states would
  // omit the same hosts in every round.
  const size_t count = std::min<size_t>(
    { members.size(), aState.m_policy.m_piggyback, kMaxHostsPerDigest - 1 });
  for (size_t i = 0; i < count; ++i) {
    const size_t drawn = i + aState.m_random() % (members.size() - i);
    std::swap(members[i], members[drawn]);
  }
  for (size_t i = 0; i < count; ++i) {
    digest.m_hosts.push_back(members[i]->m_news);
  }
  for (const auto& [weights, version] : aState.m_versions) {
    if (digest.m_versions.size() < kMaxVersionsPerDigest) {
      digest.m_versions.push_back({ weights, version });
    }
  }
  for (const auto& [kind, revision] : aState.m_kinds) {
    if (digest.m_kinds.size() < kMaxKindsPerDigest) {
      digest.m_kinds.push_back({ kind, revision });
    }
  }
  return digest;
}

void
TellPeers(GossipState& aState, Effects& aEffects)
{
  if (aState.m_peers.empty()) {
    return;
  }
  const Digest digest = MakeDigest(aState);
  std::vector<std::string> told;
  const size_t count =
    std::min<size_t>(aState.m_policy.m_fanout, aState.m_peers.size());
  while (told.size() < count) {
    const std::string& peer =
      aState.m_peers[aState.m_random() % aState.m_peers.size()];
    if (std::ranges::find(told, peer) == told.end()) {
      told.push_back(peer);
      aEffects.push_back(SendDigest{ peer, digest });
    }
  }
}

void
On(GossipState& aState, const PeersListed& aEvent, core::Instant, Effects&)
{
  aState.m_peers.clear();
  for (const std::string& host : aEvent.m_hosts) {
    if (host != aState.m_self.m_host) {
      aState.m_peers.push_back(host);
    }
  }
  std::erase_if(aState.m_members, [&aState](const auto& aEntry) {
    return std::ranges::find(aState.m_peers, aEntry.first) ==
           aState.m_peers.end();
  });
}

void
On(GossipState& aState,
   const DigestReceived& aEvent,
   core::Instant aNow,
   Effects& aEffects)
{
  if (aEvent.m_digest.m_hosts.empty()) {
    return;
  }
  for (const HostNews& news : aEvent.m_digest.m_hosts) {
    TakeHost(aState, news, aNow, aEffects);
  }
  for (const VersionNews& news : aEvent.m_digest.m_versions) {
    TakeVersion(aState, news, aEffects);
  }
  bool passOn = false;
  for (const KindNews& news : aEvent.m_digest.m_kinds) {
    if (TakeKind(aState, news)) {
      aEffects.push_back(KindHeard{ news });
      passOn = true;
    }
  }
  if (passOn) {
    // Missed changes are urgent and are forwarded before the next round.
    TellPeers(aState, aEffects);
  }
  const HostNews& sender = aEvent.m_digest.m_hosts.front();
  if (sender.m_generation > aState.m_self.m_generation) {
    aEffects.push_back(FetchDocument{ sender.m_host, sender.m_generation });
  }
}

void
On(GossipState& aState, const RoundDue&, core::Instant aNow, Effects& aEffects)
{
  if (aNow < aState.m_nextRound) {
    return;
  }
  const bool first = aState.m_nextRound == core::Instant{};
  aState.m_ownDelay = first ? core::Duration{} : aNow - aState.m_nextRound;
  aState.m_self.m_heartbeat += 1;
  aState.m_nextRound = aNow + aState.m_policy.m_interval;
  TellPeers(aState, aEffects);
}

void
On(GossipState& aState,
   const GenerationInForce& aEvent,
   core::Instant,
   Effects& aEffects)
{
  if (aEvent.m_generation <= aState.m_self.m_generation) {
    return;
  }
  aState.m_self.m_generation = aEvent.m_generation;
  aState.m_self.m_heartbeat += 1;
  // Peers learn of the new generation before the next round.
  TellPeers(aState, aEffects);
}

void
On(GossipState& aState,
   const VersionLearned& aEvent,
   core::Instant,
   Effects& aEffects)
{
  Effects unheard;
  TakeVersion(aState, aEvent.m_news, unheard);
  if (!unheard.empty()) {
    TellPeers(aState, aEffects);
  }
}

void
On(GossipState& aState,
   const ChangesMissed& aEvent,
   core::Instant,
   Effects& aEffects)
{
  if (TakeKind(aState, aEvent.m_news)) {
    TellPeers(aState, aEffects);
  }
}

void
On(GossipState& aState, const LeavingStarted&, core::Instant, Effects& aEffects)
{
  aState.m_self.m_leaving = true;
  aState.m_self.m_heartbeat += 1;
  TellPeers(aState, aEffects);
}

} // namespace

void
Apply(GossipState& aState,
      const GossipEvent& aEvent,
      core::Instant aNow,
      std::vector<GossipEffect>& aEffects)
{
  std::visit([&](const auto& aTyped) { On(aState, aTyped, aNow, aEffects); },
             aEvent);
}

core::Instant
NextDeadline(const GossipState& aState)
{
  return aState.m_nextRound;
}

bool
IsSuspect(const GossipState& aState, std::string_view aHost, core::Instant aNow)
{
  const auto found = aState.m_members.find(aHost);
  if (found == aState.m_members.end()) {
    return false;
  }
  const core::Duration silence = aNow - found->second.m_heardAt;
  // Digests may still be queued on this host if it was delayed itself.
  const auto hosts = static_cast<int64_t>(aState.m_members.size());
  const core::Duration patience = std::max(
    aState.m_policy.m_suspectAfter, aState.m_policy.m_suspectPerHost * hosts);
  return silence > patience + 2 * aState.m_ownDelay;
}

} // namespace heatherdeal::gossip
