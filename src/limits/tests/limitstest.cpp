#include "limits/limits.h"

#include <algorithm>
#include <random>
#include <set>

#include "catch2/catch.hpp"

#include "routing/pacing.h"

namespace heatherdeal::limits {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::Instant kStart(std::chrono::hours(1));
constexpr core::UpstreamRun kUpstream{ 5 };
constexpr uint64_t kService = 9;
constexpr core::Duration kTick = milliseconds(20);
constexpr core::Duration kRound = milliseconds(300);
constexpr core::Duration kUpdateInterval = milliseconds(200);
constexpr uint32_t kLossPercent = 20;
constexpr size_t kFanout = 5;

/// A host that sends what its permits allow to one upstream.
struct SimulatedHost
{
  DemandKey m_key;
  double m_demand = 0.0;
  LimitState m_state;
  std::optional<routing::PacedPermits> m_permits;
};

/// Hosts with uneven demand that gossip, and an upstream with a limit.
class Fleet
{
public:
  Fleet(size_t aHosts, double aTotalDemand, uint64_t aSeed)
    : m_random(aSeed)
    , m_hosts(aHosts)
  {
    double weights = 0.0;
    for (size_t i = 0; i < aHosts; ++i) {
      m_hosts[i].m_key = { i + 1, kService };
      // A few hosts have most of the demand.
      m_hosts[i].m_demand = i < 2 ? 10.0 * static_cast<double>(aHosts) : 1.0;
      weights += m_hosts[i].m_demand;
    }
    for (SimulatedHost& host : m_hosts) {
      host.m_demand *= aTotalDemand / weights;
    }
  }

  void SetLimit(std::optional<double> aLimit) { m_limit = aLimit; }

  void RunFor(core::Duration aTime)
  {
    for (const core::Instant end = m_now + aTime; m_now < end; m_now += kTick) {
      const auto elapsed = m_now - kStart;
      for (SimulatedHost& host : m_hosts) {
        SendRequests(host);
        if (elapsed % kUpdateInterval == core::Duration::zero()) {
          UpdateRate(host);
        }
        if (elapsed % kRound == core::Duration::zero()) {
          Gossip(host);
        }
      }
    }
  }

  /// Returns the highest number of requests in any four seconds from aFrom on.
  size_t MaxInFourSeconds(core::Instant aFrom) const
  {
    size_t most = 0;
    for (auto begin = m_sentAt.lower_bound(aFrom); begin != m_sentAt.end();
         ++begin) {
      most = std::max(most, CountSent(*begin, *begin + seconds(4)));
    }
    return most;
  }

  size_t CountSent(core::Instant aFrom, core::Instant aTo) const
  {
    return static_cast<size_t>(
      std::distance(m_sentAt.lower_bound(aFrom), m_sentAt.lower_bound(aTo)));
  }

  /// The host forgets everything.
  void Restart(size_t aHost)
  {
    m_hosts[aHost].m_state = {};
    m_hosts[aHost].m_permits.reset();
  }

  core::Instant Now() const { return m_now; }

private:
  void SendRequests(SimulatedHost& aHost)
  {
    std::poisson_distribution<int> arrivals(
      aHost.m_demand * std::chrono::duration<double>(kTick).count());
    for (int i = arrivals(m_random); i > 0; --i) {
      if (aHost.m_permits &&
          routing::FindNextPermit(*aHost.m_permits) > m_now) {
        continue;
      }
      if (aHost.m_permits) {
        routing::TakePermit(*aHost.m_permits, m_now);
      }
      m_sentAt.insert(m_now);
      if (RecordAnswer(aHost.m_state, kUpstream, m_limit, m_now)) {
        UpdateRate(aHost);
      }
    }
  }

  void UpdateRate(SimulatedHost& aHost)
  {
    RecordDemand(aHost.m_state, aHost.m_key, aHost.m_demand, m_now);
    const double share = ComputeDemandShare(aHost.m_state, aHost.m_key, m_now);
    const auto rate = ComputeRate(aHost.m_state, kUpstream, share);
    if (!rate) {
      aHost.m_permits.reset();
      return;
    }
    if (!aHost.m_permits) {
      aHost.m_permits = routing::PacedPermits{ .m_updatedAt = m_now };
    }
    routing::SetRate(*aHost.m_permits, *rate, m_now);
  }

  void Gossip(SimulatedHost& aHost)
  {
    const LimitMessage message =
      MakeMessage(aHost.m_state, std::span(&aHost.m_key, 1), m_now);
    for (size_t i = 0; i < kFanout; ++i) {
      SimulatedHost& peer = m_hosts[m_random() % m_hosts.size()];
      const bool isLost = m_random() % 100 < kLossPercent;
      if (&peer != &aHost && !isLost && MergeMessage(peer.m_state, message)) {
        UpdateRate(peer);
      }
    }
  }

  std::mt19937_64 m_random;
  std::vector<SimulatedHost> m_hosts;
  std::optional<double> m_limit;
  std::multiset<core::Instant> m_sentAt;
  core::Instant m_now = kStart;
};

/// What the page's rule allows in four seconds.
size_t
AllowedInFourSeconds(double aLimit)
{
  return static_cast<size_t>(1.5 * 4.0 * aLimit + 5.0);
}

constexpr core::Duration kContactTime = seconds(3);

} // namespace

// Guards against hosts that each keep to a limit which all of them together
// exceed (LIMIT).
TEST_CASE("all hosts together keep within a limit, whatever their number")
{
  const size_t hosts = GENERATE(1, 4, 12, 60, 200);
  const double limit = GENERATE(0.0, 0.5, 1.2, 8.0, 40.0);
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    INFO(hosts << " hosts, limit " << limit << ", seed " << seed);
    Fleet fleet(hosts, 50.0, seed);
    fleet.RunFor(seconds(3));
    fleet.SetLimit(limit);
    const core::Instant namedAt = fleet.Now();
    fleet.RunFor(seconds(20));
    CHECK(fleet.MaxInFourSeconds(namedAt + kContactTime) <=
          AllowedInFourSeconds(limit));
  }
}

TEST_CASE("most of a limit is used while there is demand for it")
{
  const size_t hosts = GENERATE(2, 12, 60);
  Fleet fleet(hosts, 50.0, 3);
  fleet.SetLimit(8.0);
  fleet.RunFor(seconds(30));
  const size_t sent = fleet.CountSent(fleet.Now() - seconds(20), fleet.Now());
  CHECK(sent >= 20 * 8 / 2);
}

TEST_CASE("a host that restarts keeps to the limit as soon as it hears of it")
{
  Fleet fleet(12, 50.0, 2);
  fleet.SetLimit(2.0);
  fleet.RunFor(seconds(10));
  fleet.Restart(0);
  const core::Instant restartedAt = fleet.Now();
  fleet.RunFor(seconds(15));
  CHECK(fleet.MaxInFourSeconds(restartedAt + kContactTime) <=
        AllowedInFourSeconds(2.0));
}

TEST_CASE("the end of a limit reaches all hosts, however small the limit was")
{
  const double limit = GENERATE(0.0, 0.2, 5.0);
  Fleet fleet(12, 50.0, 4);
  fleet.SetLimit(limit);
  fleet.RunFor(seconds(15));
  fleet.SetLimit(std::nullopt);
  fleet.RunFor(seconds(60));
  const size_t sent = fleet.CountSent(fleet.Now() - seconds(2), fleet.Now());
  CHECK(sent >= 80);
}

TEST_CASE("what is older does not replace what is newer")
{
  LimitState state;
  CHECK(RecordAnswer(state, kUpstream, 3.0, kStart));
  CHECK_FALSE(RecordAnswer(state, kUpstream, 3.0, kStart + seconds(1)));
  const auto merge = [&state](std::optional<double> aLimit,
                              core::Instant aAnsweredAt) {
    return MergeMessage(state,
                        { { { kUpstream, { aLimit, aAnsweredAt } } }, {} });
  };
  CHECK_FALSE(merge(std::nullopt, kStart));
  CHECK(ComputeRate(state, kUpstream, 1.0).has_value());
  CHECK(merge(std::nullopt, kStart + seconds(2)));
  CHECK_FALSE(ComputeRate(state, kUpstream, 1.0).has_value());
  CHECK_FALSE(merge(3.0, kStart + seconds(1)));
  CHECK_FALSE(HasLimits(state));
}

TEST_CASE("an upstream that names no limit is not remembered")
{
  LimitState state;
  CHECK_FALSE(RecordAnswer(state, kUpstream, std::nullopt, kStart));
  CHECK(state.m_limits.empty());
  RecordAnswer(state, kUpstream, 1.0, kStart);
  RecordAnswer(state, kUpstream, std::nullopt, kStart);
  RecordDemand(state, { 1, kService }, 1.0, kStart);
  MakeMessage(state, {}, kStart + seconds(11));
  CHECK(state.m_limits.empty());
  CHECK(state.m_demands.empty());
}

TEST_CASE("messages let all limits and demands have their turn")
{
  LimitState state;
  for (uint64_t i = 1; i <= 100; ++i) {
    RecordAnswer(state, { i }, 1.0, kStart);
    RecordDemand(state, { i, kService }, 1.0, kStart);
  }
  const DemandKey self{ 50, kService };
  std::set<core::UpstreamRun> limits;
  std::set<DemandKey> demands;
  for (int i = 0; i < 10; ++i) {
    const LimitMessage message =
      MakeMessage(state, std::span(&self, 1), kStart);
    CHECK(message.m_limits.size() == kMaxLimitsPerMessage);
    CHECK(message.m_demands.size() <= kMaxDemandsPerMessage);
    CHECK(message.m_demands.front().m_key == self);
    for (const LimitReport& report : message.m_limits) {
      limits.insert(report.m_upstream);
    }
    for (const DemandReport& report : message.m_demands) {
      demands.insert(report.m_key);
    }
  }
  CHECK(limits.size() == 100);
  CHECK(demands.size() == 100);
}

} // namespace heatherdeal::limits
