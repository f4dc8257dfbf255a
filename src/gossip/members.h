#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/instant.h"
#include "gossip/digest.h"

namespace heatherdeal::gossip {

struct GossipPolicy
{
  core::Duration m_interval = std::chrono::milliseconds(500);
  /// Peers told in each interval.
  uint32_t m_fanout = 2;
  /// A host that has not been heard of for so long is suspected.
  core::Duration m_suspectAfter = std::chrono::seconds(5);
  /// At least so much for each host: news of each comes less often.
  core::Duration m_suspectPerHost = std::chrono::milliseconds(45);
  /// Entries about other hosts in each message.
  uint32_t m_piggyback = 6;
};

struct Member
{
  HostNews m_news;
  core::Instant m_heardAt{};
};

/// What one host knows of all others.
struct GossipState
{
  GossipPolicy m_policy;
  HostNews m_self;
  std::map<std::string, Member, std::less<>> m_members;
  /// Hosts of the host list: whom messages may go to.
  std::vector<std::string> m_peers;
  std::map<std::string, core::WeightVersion> m_versions;
  /// Revisions up to which watches of a kind have missed changes.
  std::map<std::string, uint64_t> m_kinds;
  core::Instant m_nextRound{};
  /// How late the last round was: a slow host does not accuse others.
  core::Duration m_ownDelay{};
  std::mt19937_64 m_random;
};

struct PeersListed
{
  std::vector<std::string> m_hosts;
};

struct DigestReceived
{
  Digest m_digest;
};

struct RoundDue
{};

/// The configuration in force here has changed.
struct GenerationInForce
{
  uint64_t m_generation = 0;
};

/// This host has learned of a version, from the store or from a trainer.
struct VersionLearned
{
  VersionNews m_news;
};

/// Listing a kind has shown changes that a watch here had missed.
struct ChangesMissed
{
  KindNews m_news;
};

struct LeavingStarted
{};

using GossipEvent = std::variant<PeersListed,
                                 DigestReceived,
                                 RoundDue,
                                 GenerationInForce,
                                 VersionLearned,
                                 ChangesMissed,
                                 LeavingStarted>;

struct SendDigest
{
  std::string m_peer;
  Digest m_digest;
};

/// A peer has a newer configuration; fetch it there.
struct FetchDocument
{
  std::string m_peer;
  uint64_t m_generation = 0;
};

/// A version that was not known here before.
struct VersionHeard
{
  VersionNews m_news;
};

/// Another host has missed changes of a kind; this one may have too.
struct KindHeard
{
  KindNews m_news;
};

/// A host's leaving state has changed.
struct LeavingHeard
{
  std::string m_host;
  bool m_leaving = false;
};

using GossipEffect = std::
  variant<SendDigest, FetchDocument, VersionHeard, KindHeard, LeavingHeard>;

void
Apply(GossipState& aState,
      const GossipEvent& aEvent,
      core::Instant aNow,
      std::vector<GossipEffect>& aEffects);

core::Instant
NextDeadline(const GossipState& aState);

/// True if the host has not been heard of for too long.
bool
IsSuspect(const GossipState& aState,
          std::string_view aHost,
          core::Instant aNow);

} // namespace heatherdeal::gossip
