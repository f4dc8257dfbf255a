#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/instant.h"
#include "gossip/digest.h"

namespace heatherdeal::gossip {

/// Timing and message sizes of gossip.
struct GossipPolicy
{
  /// Time between two gossip rounds.
  core::Duration m_roundInterval = std::chrono::milliseconds(500);
  /// Number of random peers that receive a digest in each round.
  uint32_t m_fanout = 2;
  /// How many of these may be in other failure domains, if there are enough
  /// peers in the own one.
  uint32_t m_remoteFanout = 2;
  /// Maximum number of peers of the own watch group that receive a digest in
  /// each round, in addition to the random ones.
  uint32_t m_maxWatchedPeers = 16;
  /// A host is suspected if no newer status of it arrives for this long.
  core::Duration m_suspectAfter = std::chrono::seconds(5);
  /// The suspicion timeout is at least this long for each known host, because
  /// updates about a host become rarer as the number of hosts grows.
  core::Duration m_suspectAfterPerHost = std::chrono::milliseconds(45);
  /// Maximum number of other hosts whose status is included in each digest.
  uint32_t m_piggybackedHosts = 6;
};

/// The newest known status of another host.
struct Member
{
  HostStatus m_hostStatus;
  /// Time at which the status arrived.
  core::Instant m_updatedAt{};
};

/// Gossip state of one host: its own status and what it knows of the others.
struct GossipState
{
  GossipPolicy m_policy;
  /// Status of this host.
  HostStatus m_self;
  std::map<std::string, Member, std::less<>> m_members;
  /// Hosts in the host list, without this host. Digests go to these only.
  std::vector<std::string> m_peers;
  /// The peers in the failure domain of this host, and the others.
  std::vector<std::string> m_localPeers;
  std::vector<std::string> m_remotePeers;
  /// The peers of the own watch group.
  std::vector<std::string> m_watchedPeers;
  /// Newest known version of each set of weights.
  std::map<std::string, core::WeightVersion> m_versions;
  /// For each object kind, the revision up to which watches missed changes.
  std::map<std::string, uint64_t> m_missedRevisions;
  core::Instant m_nextRoundAt{};
  /// Delay of the last round. It extends the suspicion timeout, so that a slow
  /// host does not suspect others.
  core::Duration m_lastRoundDelay{};
  std::mt19937_64 m_random;
};

/// The host list has changed.
struct PeersChanged
{
  /// Names of all hosts in the list; may include this host.
  std::vector<std::string> m_hosts;
  /// Those in the failure domain of this host.
  std::set<std::string, std::less<>> m_localHosts;
  /// Those that watch each other closely together with this host; empty if this
  /// host is in no such group.
  std::set<std::string, std::less<>> m_watchGroup;
};

/// A valid digest has arrived from another host.
struct DigestReceived
{
  Digest m_digest;
};

/// The time of the next round may have been reached.
struct RoundDue
{};

/// A configuration has become active on this host.
struct GenerationActivated
{
  uint64_t m_generation = 0;
};

/// This host has learned of a weight version from the store or a trainer.
struct VersionLearned
{
  VersionUpdate m_update;
};

/// A relist of a kind showed changes that the watch on this host missed.
struct MissedChangesDetected
{
  MissedChanges m_changes;
};

/// This host has begun to leave the system.
struct LeavingStarted
{};

/// A plug-in has news that other hosts should know before the next round.
struct NewsAvailable
{};

/// Inputs of Apply.
using GossipEvent = std::variant<PeersChanged,
                                 DigestReceived,
                                 RoundDue,
                                 GenerationActivated,
                                 VersionLearned,
                                 MissedChangesDetected,
                                 LeavingStarted,
                                 NewsAvailable>;

/// Sends a digest to a peer.
struct SendDigest
{
  std::string m_peer;
  Digest m_digest;
};

/// Fetches the newer configuration of a peer.
struct FetchConfiguration
{
  std::string m_peer;
  uint64_t m_generation = 0;
};

/// Notifies listeners of a version that was unknown on this host.
struct NotifyVersion
{
  VersionUpdate m_update;
};

/// Relists a kind after another host missed changes, because this host may
/// have missed them too.
struct RelistKind
{
  MissedChanges m_changes;
};

/// Records that a host has started to leave, or is back.
struct SetHostLeaving
{
  std::string m_host;
  bool m_leaving = false;
};

/// Actions that the caller of Apply carries out.
using GossipEffect = std::variant<SendDigest,
                                  FetchConfiguration,
                                  NotifyVersion,
                                  RelistKind,
                                  SetHostLeaving>;

/// Applies an event to the state and appends the resulting effects.
void
Apply(GossipState& aState,
      const GossipEvent& aEvent,
      core::Instant aNow,
      std::vector<GossipEffect>& aEffects);

/// Returns the time at which RoundDue has to be applied next.
core::Instant
NextDeadline(const GossipState& aState);

/// Returns true if no newer status of the host has arrived within the suspicion
/// timeout. Unknown hosts are not suspected.
bool
IsSuspect(const GossipState& aState,
          std::string_view aHost,
          core::Instant aNow);

} // namespace heatherdeal::gossip
