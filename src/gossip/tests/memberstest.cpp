#include "gossip/members.h"

#include <deque>

#include "catch2/catch.hpp"

#include "gossip/internal/digestcodec.h"
#include "virtualworld/eventqueue.h"

namespace heatherdeal::gossip {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Simulates gossiping hosts in virtual time, with packet loss and a network
/// partition between even and odd hosts.
class Fleet
{
public:
  /// The hosts are distributed over aDomainCount failure domains. The first
  /// aWatchGroup hosts watch each other.
  explicit Fleet(size_t aHostCount,
                 uint32_t aLossPercent = 0,
                 size_t aDomainCount = 1,
                 size_t aWatchGroup = 0,
                 const GossipPolicy& aPolicy = {})
    : m_lossPercent(aLossPercent)
    , m_domainCount(aDomainCount)
    , m_random(5)
  {
    m_hosts.resize(aHostCount);
    for (size_t i = 0; i < aHostCount; ++i) {
      m_hosts[i].m_state.m_self = { HostName(i), 1, 0, false, 0 };
      m_hosts[i].m_state.m_policy = aPolicy;
      m_hosts[i].m_state.m_random.seed(i);
      HandleEvent(i, MakePeers(i, aWatchGroup));
      HandleEvent(i, RoundDue{});
    }
  }

  PeersChanged MakePeers(size_t aHost, size_t aWatchGroup) const
  {
    PeersChanged peers;
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      peers.m_hosts.push_back(HostName(i));
      if (m_domainCount > 1 && DomainOf(i) == DomainOf(aHost)) {
        peers.m_localHosts.insert(HostName(i));
      }
      if (i < aWatchGroup && aHost < aWatchGroup) {
        peers.m_watchGroup.insert(HostName(i));
      }
    }
    return peers;
  }

  size_t DomainOf(size_t aHost) const { return aHost % m_domainCount; }

  static std::string HostName(size_t aIndex)
  {
    return "h" + std::to_string(aIndex);
  }

  void HandleEvent(size_t aHost, const GossipEvent& aEvent)
  {
    Host& host = m_hosts[aHost];
    if (host.m_isDown) {
      return;
    }
    std::vector<GossipEffect> effects;
    Apply(host.m_state, aEvent, m_queue.Now(), effects);
    for (const GossipEffect& effect : effects) {
      Execute(aHost, effect);
    }
    m_queue.ScheduleAt(NextDeadline(host.m_state),
                       [this, aHost, timerId = ++host.m_timerId] {
                         if (timerId == m_hosts[aHost].m_timerId) {
                           HandleEvent(aHost, RoundDue{});
                         }
                       });
  }

  void Execute(size_t aFrom, const GossipEffect& aEffect)
  {
    if (const auto* send = std::get_if<SendDigest>(&aEffect)) {
      m_messages += 1;
      const size_t to = std::stoul(send->m_peer.substr(1));
      m_remoteMessages += DomainOf(aFrom) == DomainOf(to) ? 0 : 1;
      const bool crossesPartition = m_isPartitioned && (aFrom % 2 != to % 2);
      if (!crossesPartition && m_random() % 100 >= m_lossPercent) {
        m_queue.ScheduleAfter(milliseconds(2),
                              [this, to, digest = send->m_digest] {
                                HandleEvent(to, DigestReceived{ digest });
                              });
      }
    } else if (const auto* fetch = std::get_if<FetchConfiguration>(&aEffect)) {
      const size_t from = std::stoul(fetch->m_peer.substr(1));
      const uint64_t generation = m_hosts[from].m_state.m_self.m_generation;
      m_queue.ScheduleAfter(milliseconds(4), [this, aFrom, generation] {
        HandleEvent(aFrom, GenerationActivated{ generation });
      });
    }
  }

  size_t CountHostsWithGeneration(uint64_t aGeneration) const
  {
    size_t count = 0;
    for (const Host& host : m_hosts) {
      count += host.m_state.m_self.m_generation == aGeneration ? 1 : 0;
    }
    return count;
  }

  struct Host
  {
    GossipState m_state;
    uint64_t m_timerId = 0;
    bool m_isDown = false;
  };

  virtualworld::EventQueue m_queue;
  std::vector<Host> m_hosts;
  uint32_t m_lossPercent;
  size_t m_domainCount;
  std::mt19937_64 m_random;
  bool m_isPartitioned = false;
  uint64_t m_messages = 0;
  uint64_t m_remoteMessages = 0;
};

core::Instant
AtSecond(int aSeconds)
{
  return core::Instant(seconds(aSeconds));
}

} // namespace

TEST_CASE("a configuration reaches all hosts in time despite packet loss")
{
  struct Case
  {
    size_t m_hosts;
    uint32_t m_lossPercent;
    int m_timeLimitSeconds;
  };
  for (const Case& c : { Case{ 8, 1, 5 }, { 100, 1, 19 }, { 300, 10, 19 } }) {
    Fleet fleet(c.m_hosts, c.m_lossPercent);
    fleet.m_queue.RunUntil(AtSecond(2));
    fleet.HandleEvent(0, GenerationActivated{ 7 });
    fleet.m_queue.RunUntil(AtSecond(2 + c.m_timeLimitSeconds));
    CHECK(fleet.CountHostsWithGeneration(7) == c.m_hosts);
  }
}

TEST_CASE("a generation never decreases, and hosts catch up after a partition")
{
  Fleet fleet(10);
  fleet.m_queue.RunUntil(AtSecond(1));
  fleet.m_isPartitioned = true;
  fleet.HandleEvent(0, GenerationActivated{ 5 });
  fleet.m_queue.RunUntil(AtSecond(30));
  CHECK(fleet.CountHostsWithGeneration(5) == 5);
  fleet.HandleEvent(1, GenerationActivated{ 4 });
  fleet.m_queue.RunUntil(AtSecond(40));
  fleet.m_isPartitioned = false;
  fleet.m_queue.RunUntil(AtSecond(45));
  CHECK(fleet.CountHostsWithGeneration(5) == 10);
  fleet.HandleEvent(3, GenerationActivated{ 4 });
  fleet.m_queue.RunUntil(AtSecond(50));
  CHECK(fleet.CountHostsWithGeneration(5) == 10);
}

TEST_CASE("only a silent host is suspected")
{
  Fleet fleet(8);
  fleet.m_queue.RunUntil(AtSecond(10));
  fleet.m_hosts[3].m_isDown = true;
  fleet.m_queue.RunUntil(AtSecond(20));
  for (size_t i = 0; i < 8; ++i) {
    if (i == 3) {
      continue;
    }
    const GossipState& state = fleet.m_hosts[i].m_state;
    for (size_t other = 0; other < 8; ++other) {
      CHECK(IsSuspect(state, Fleet::HostName(other), AtSecond(20)) ==
            (other == 3));
    }
  }
}

TEST_CASE("among eighty running hosts false suspicions are rare")
{
  Fleet fleet(80, 1);
  for (auto& host : fleet.m_hosts) {
    host.m_state.m_policy.m_roundInterval = milliseconds(300);
    host.m_state.m_policy.m_fanout = 5;
    host.m_state.m_policy.m_piggybackedHosts = 22;
    host.m_state.m_policy.m_suspectAfter = milliseconds(1800);
  }
  size_t suspicions = 0;
  for (int second = 6; second < 26; ++second) {
    fleet.m_queue.RunUntil(AtSecond(second));
    for (const auto& host : fleet.m_hosts) {
      for (const auto& [name, member] : host.m_state.m_members) {
        suspicions += IsSuspect(host.m_state, name, AtSecond(second)) ? 1 : 0;
      }
    }
  }
  // At most one false suspicion in 10,000 checks is allowed: the next update
  // arrives before a single one has consequences.
  CHECK(suspicions <= 20 * 80 * 79 / 10'000);
}

namespace {

/// The policy of the deployed programs.
GossipPolicy
DeployedPolicy()
{
  GossipPolicy policy;
  policy.m_roundInterval = milliseconds(300);
  policy.m_fanout = 5;
  policy.m_remoteFanout = 1;
  policy.m_piggybackedHosts = 22;
  policy.m_suspectAfter = milliseconds(1800);
  return policy;
}

} // namespace

// Pattern: hundreds of hosts, of which a few own all batches. The suspicion
// timeout grows with the number of hosts, so the batches of an owner that fails
// would wait for most of their time.
TEST_CASE("hosts of a watch group notice the failure of one of them in 2.5 s, "
          "however many hosts there are")
{
  constexpr size_t kGroup = 6;
  Fleet fleet(180, 1, 6, kGroup, DeployedPolicy());
  fleet.m_queue.RunUntil(AtSecond(6));
  fleet.m_hosts[3].m_isDown = true;
  size_t falseSuspicions = 0;
  for (int tenth = 60; tenth <= 85; ++tenth) {
    const core::Instant now = core::Instant(milliseconds(100 * tenth));
    fleet.m_queue.RunUntil(now);
    for (size_t i = 0; i < kGroup; ++i) {
      for (size_t other = 0; other < kGroup; ++other) {
        const bool isSuspect =
          IsSuspect(fleet.m_hosts[i].m_state, Fleet::HostName(other), now);
        falseSuspicions += isSuspect && other != 3 && i != 3 ? 1 : 0;
      }
    }
  }
  CHECK(falseSuspicions == 0);
  for (size_t i = 0; i < kGroup; ++i) {
    const GossipState& state = fleet.m_hosts[i].m_state;
    CHECK((i == 3 || IsSuspect(state, "h3", fleet.m_queue.Now())));
  }
}

// Pattern: hundreds of hosts in several failure domains, between which traffic
// is dear.
TEST_CASE(
  "most digests stay in their failure domain, and news still reaches all "
  "hosts within 2 s")
{
  Fleet fleet(180, 1, 6, 0, DeployedPolicy());
  fleet.m_queue.RunUntil(AtSecond(6));
  fleet.m_messages = 0;
  fleet.m_remoteMessages = 0;
  fleet.HandleEvent(4, GenerationActivated{ 7 });
  fleet.m_queue.RunUntil(AtSecond(8));
  CHECK(fleet.CountHostsWithGeneration(7) == 180);
  CHECK(fleet.m_remoteMessages * 4 <= fleet.m_messages);
}

TEST_CASE("hosts of other failure domains are rarely suspected without reason")
{
  Fleet fleet(180, 1, 6, 0, DeployedPolicy());
  size_t suspicions = 0;
  for (int second = 10; second < 20; ++second) {
    fleet.m_queue.RunUntil(AtSecond(second));
    for (const auto& host : fleet.m_hosts) {
      for (const auto& [name, member] : host.m_state.m_members) {
        suspicions += IsSuspect(host.m_state, name, AtSecond(second)) ? 1 : 0;
      }
    }
  }
  // At most one in 10,000 checks, as for smaller fleets.
  CHECK(suspicions <= 10 * 180 * 179 / 10'000);
}

TEST_CASE("a host that was stalled itself suspects no other host")
{
  GossipState state;
  state.m_self.m_host = "h0";
  std::vector<GossipEffect> effects;
  Apply(state, RoundDue{}, AtSecond(1), effects);
  Apply(state,
        DigestReceived{ { { { "h1", 1, 1, false, 0 } }, {} } },
        AtSecond(1),
        effects);
  // The host was stalled for 20 s and runs its overdue round first.
  Apply(state, RoundDue{}, AtSecond(21), effects);
  CHECK_FALSE(IsSuspect(state, "h1", AtSecond(21)));
}

TEST_CASE("a restarted host raises its incarnation above the previous one")
{
  Fleet fleet(4);
  fleet.m_queue.RunUntil(AtSecond(20));
  GossipState& state = fleet.m_hosts[2].m_state;
  state.m_self = { "h2", 1, 0, false, 0 };
  fleet.m_queue.RunUntil(AtSecond(30));
  CHECK(state.m_self.m_incarnation == 2);
  for (size_t i : { 0, 1, 3 }) {
    const auto& member = fleet.m_hosts[i].m_state.m_members.at("h2");
    CHECK(member.m_hostStatus.m_incarnation == 2);
  }
}

TEST_CASE("all hosts learn of a leaving host within 3 s")
{
  Fleet fleet(8, 1);
  fleet.m_queue.RunUntil(AtSecond(5));
  fleet.HandleEvent(6, LeavingStarted{});
  fleet.m_queue.RunUntil(AtSecond(8));
  for (size_t i = 0; i < 8; ++i) {
    if (i != 6) {
      CHECK(fleet.m_hosts[i].m_state.m_members.at("h6").m_hostStatus.m_leaving);
    }
  }
}

// Guards against hosts that hear nothing of each other any more, because the
// name of a set of weights is longer than a digest may hold.
TEST_CASE("a version of weights with a long name keeps no digest from being "
          "read")
{
  GossipState state;
  std::vector<GossipEffect> effects;
  Apply(state, PeersChanged{ { "h1", "h2" } }, AtSecond(1), effects);
  for (const size_t length :
       { size_t(1), kMaxNameBytes, size_t(65), size_t(300) }) {
    const VersionLearned learned{ { std::string(length, 'w'), { 2 } } };
    Apply(state, learned, AtSecond(1), effects);
  }
  effects.clear();
  Apply(state, RoundDue{}, AtSecond(2), effects);
  size_t digests = 0;
  for (const GossipEffect& effect : effects) {
    if (const auto* send = std::get_if<SendDigest>(&effect)) {
      digests += 1;
      const auto decoded = Decode(Encode(send->m_digest));
      REQUIRE(decoded.ok());
      CHECK(decoded->m_versions.size() == 2);
    }
  }
  CHECK(digests > 0);
}

TEST_CASE("missed changes are known to all hosts within one second")
{
  // A change must take effect within two seconds, and detecting a missed change
  // takes up to one of them.
  Fleet fleet(12);
  for (auto& host : fleet.m_hosts) {
    host.m_state.m_policy.m_roundInterval = milliseconds(300);
    host.m_state.m_policy.m_fanout = 3;
  }
  fleet.m_queue.RunUntil(AtSecond(5));
  fleet.HandleEvent(4, MissedChangesDetected{ { "servers", 90 } });
  fleet.m_queue.RunUntil(AtSecond(6));
  for (const auto& host : fleet.m_hosts) {
    CHECK(host.m_state.m_missedRevisions.at("servers") == 90);
  }
  fleet.HandleEvent(4, MissedChangesDetected{ { "servers", 80 } });
  CHECK(fleet.m_hosts[4].m_state.m_missedRevisions.at("servers") == 90);
}

TEST_CASE("listeners are notified once per version and only of newer versions")
{
  GossipState state;
  std::vector<GossipEffect> effects;
  const DigestReceived received{ { { { "h1", 1, 1, false, 0 } },
                                   { { "w", { 3 } } } } };
  Apply(state, received, AtSecond(1), effects);
  REQUIRE(effects.size() == 1);
  CHECK(std::holds_alternative<NotifyVersion>(effects.front()));
  effects.clear();
  Apply(state, received, AtSecond(2), effects);
  Apply(state, VersionLearned{ { "w", { 2 } } }, AtSecond(3), effects);
  CHECK(effects.empty());
}

} // namespace heatherdeal::gossip
