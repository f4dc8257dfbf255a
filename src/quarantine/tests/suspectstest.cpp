#include "quarantine/suspects.h"

#include <algorithm>
#include <random>

#include "catch2/catch.hpp"

namespace heatherdeal::quarantine {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const core::Instant kNow(std::chrono::hours(1));
constexpr Fingerprint kRequest{ 1 };

bool
IsRefusedAt(const QuarantineState& aState,
            core::Instant aNow,
            Fingerprint aFingerprint = kRequest)
{
  return FindRefusalEnd(aState, aFingerprint, aNow).has_value();
}

/// Records crashes of upstreams 1 to aCount.
void
CrashUpstreams(QuarantineState& aState, uint64_t aCount, core::Instant aNow)
{
  for (uint64_t upstream = 1; upstream <= aCount; ++upstream) {
    RecordCrash(aState, kRequest, { upstream }, aNow);
  }
}

/// Hosts that send their reports to random others in rounds, with losses.
struct Fleet
{
  std::vector<QuarantineState> m_hosts;
  std::mt19937_64 m_random{ 7 };
  uint32_t m_lossPercent = 20;
  size_t m_fanout = 5;
  size_t m_reportsPerMessage = 8;

  void RunRound(core::Instant aNow)
  {
    for (QuarantineState& host : m_hosts) {
      const auto reports = TakeDueReports(host, m_reportsPerMessage, aNow);
      for (size_t i = 0; i < m_fanout; ++i) {
        QuarantineState& peer = m_hosts[m_random() % m_hosts.size()];
        const bool isLost = m_random() % 100 < m_lossPercent;
        for (const SuspectReport& report : reports) {
          if (!isLost) {
            MergeReport(peer, report, aNow);
          }
        }
      }
    }
  }

  size_t CountHostsThatRefuse(core::Instant aNow) const
  {
    return static_cast<size_t>(
      std::ranges::count_if(m_hosts, [&](const QuarantineState& aHost) {
        return IsRefusedAt(aHost, aNow);
      }));
  }
};

} // namespace

TEST_CASE("only a request that crashes three different upstreams is refused")
{
  QuarantineState state;
  CHECK(RecordCrash(state, kRequest, { 1 }, kNow) == Learned::News);
  CHECK(RecordCrash(state, kRequest, { 1 }, kNow) == Learned::Nothing);
  CHECK(RecordCrash(state, { 2 }, { 1 }, kNow) == Learned::News);
  CHECK(RecordCrash(state, kRequest, { 2 }, kNow) == Learned::News);
  CHECK_FALSE(IsRefusedAt(state, kNow));
  CHECK(RecordCrash(state, kRequest, { 3 }, kNow) == Learned::Refusal);
  CHECK(IsRefusedAt(state, kNow));
  CHECK_FALSE(IsRefusedAt(state, kNow, { 2 }));
}

// Guards against a request that is refused on one host and crashes further
// upstreams by way of the others (BUDGET).
TEST_CASE(
  "a request that crashed one upstream on each of three hosts is refused "
  "by all hosts within three seconds")
{
  Fleet fleet;
  fleet.m_hosts.resize(GENERATE(4, 60, 1400));
  const size_t last = fleet.m_hosts.size() - 1;
  RecordCrash(fleet.m_hosts[0], kRequest, { 1 }, kNow);
  RecordCrash(fleet.m_hosts[1], kRequest, { 2 }, kNow);
  RecordCrash(fleet.m_hosts[last], kRequest, { 3 }, kNow);
  core::Instant now = kNow;
  for (; now < kNow + seconds(3); now += milliseconds(300)) {
    fleet.RunRound(now);
  }
  CHECK(fleet.CountHostsThatRefuse(now) == fleet.m_hosts.size());
}

// Guards against the same failure while other upstreams crash by chance.
TEST_CASE("a crashing request is refused everywhere among a burst of crashes "
          "under sound requests")
{
  Fleet fleet;
  fleet.m_hosts.resize(12);
  for (uint64_t request = 100; request < 500; ++request) {
    RecordCrash(
      fleet.m_hosts[request % 12], { request }, { request % 4 + 10 }, kNow);
  }
  for (uint64_t upstream = 1; upstream <= 3; ++upstream) {
    RecordCrash(fleet.m_hosts[upstream], kRequest, { upstream }, kNow);
  }
  core::Instant now = kNow;
  for (; now < kNow + seconds(3); now += milliseconds(300)) {
    fleet.RunRound(now);
  }
  CHECK(fleet.CountHostsThatRefuse(now) == fleet.m_hosts.size());
}

TEST_CASE("a host that starts later learns of refused requests")
{
  Fleet fleet;
  fleet.m_hosts.resize(8);
  CrashUpstreams(fleet.m_hosts[0], 3, kNow);
  core::Instant now = kNow;
  for (; now < kNow + seconds(20); now += milliseconds(300)) {
    fleet.RunRound(now);
  }
  fleet.m_hosts[3] = {};
  const core::Instant restartedAt = now;
  for (; now < restartedAt + seconds(3); now += milliseconds(300)) {
    fleet.RunRound(now);
  }
  CHECK(IsRefusedAt(fleet.m_hosts[3], now));
}

TEST_CASE("a refusal ends, and a single further crash renews it for longer")
{
  QuarantineState state;
  CrashUpstreams(state, 3, kNow);
  CHECK(IsRefusedAt(state, kNow + seconds(59)));
  const core::Instant tryAgainAt = kNow + seconds(61);
  CHECK_FALSE(IsRefusedAt(state, tryAgainAt));
  CHECK(RecordCrash(state, kRequest, { 4 }, tryAgainAt) == Learned::Refusal);
  CHECK(IsRefusedAt(state, tryAgainAt + minutes(9)));
  CHECK_FALSE(IsRefusedAt(state, tryAgainAt + minutes(11)));
}

// Guards against sound requests that are refused because upstreams crashed by
// chance while they ran them.
TEST_CASE("a request that was served is not blamed for crashes around it")
{
  SECTION("served between the crashes")
  {
    QuarantineState state;
    CrashUpstreams(state, 2, kNow);
    RecordServed(state, kRequest, kNow + seconds(1));
    CHECK(RecordCrash(state, kRequest, { 3 }, kNow + seconds(2)) ==
          Learned::News);
    CHECK_FALSE(IsRefusedAt(state, kNow + seconds(2)));
  }
  SECTION("served before the first crash")
  {
    QuarantineState state;
    RecordServed(state, kRequest, kNow);
    CrashUpstreams(state, 5, kNow + seconds(30));
    CHECK_FALSE(IsRefusedAt(state, kNow + seconds(30)));
  }
  SECTION("served on another host")
  {
    QuarantineState state;
    QuarantineState other;
    RecordServed(other, kRequest, kNow - seconds(5));
    CrashUpstreams(state, 3, kNow);
    for (const SuspectReport& report : TakeDueReports(state, 8, kNow)) {
      MergeReport(other, report, kNow);
    }
    CHECK_FALSE(IsRefusedAt(other, kNow));
    for (const SuspectReport& report : TakeDueReports(other, 8, kNow)) {
      MergeReport(state, report, kNow);
    }
    CHECK_FALSE(IsRefusedAt(state, kNow));
  }
}

TEST_CASE("an upstream that answers afterwards has not crashed")
{
  QuarantineState state;
  CrashUpstreams(state, 3, kNow);
  const core::Instant sentAt = kNow + milliseconds(200);
  SECTION("to a request that was sent before")
  {
    RecordAnswer(state, { 2 }, kNow - milliseconds(1), sentAt);
    CHECK(IsRefusedAt(state, sentAt));
  }
  SECTION("to a request that was sent later")
  {
    CHECK(RecordAnswer(state, { 2 }, sentAt, sentAt) == Learned::News);
    CHECK_FALSE(IsRefusedAt(state, sentAt));
  }
  SECTION("so much later that it may have started again")
  {
    RecordAnswer(state, { 2 }, kNow + seconds(2), kNow + seconds(3));
    CHECK(IsRefusedAt(state, sentAt));
  }
}

TEST_CASE("hosts agree in whatever order reports arrive")
{
  std::vector<SuspectReport> reports{
    { kRequest, { { { 1 }, kNow, false } }, std::nullopt },
    { kRequest, { { { 1 }, kNow - seconds(1), true } }, std::nullopt },
    { kRequest, { { { 2 }, kNow, false } }, kNow - minutes(5) },
    { kRequest, { { { 3 }, kNow, false }, { { 4 }, kNow, false } }, {} },
  };
  std::vector<size_t> order{ 0, 1, 2, 3 };
  do {
    QuarantineState state;
    for (const size_t index : order) {
      MergeReport(state, reports[index], kNow);
      CHECK(MergeReport(state, reports[index], kNow) == Learned::Nothing);
    }
    CHECK(CountCrashes(state.m_policy, state.m_suspects.at(kRequest)) == 3);
    CHECK(IsRefusedAt(state, kNow));
  } while (std::ranges::next_permutation(order).found);
}

TEST_CASE("the number of suspect and of remembered requests is limited")
{
  QuarantineState state;
  state.m_policy.m_maxEntries = 8;
  CrashUpstreams(state, 3, kNow);
  for (uint64_t request = 100; request < 200; ++request) {
    RecordCrash(state, { request }, { 1 }, kNow);
    RecordServed(state, { 1000 + request }, kNow);
  }
  CHECK(state.m_suspects.size() == 8);
  CHECK(state.m_served.m_newer.size() + state.m_served.m_older.size() <= 16);
  CHECK(IsRefusedAt(state, kNow));
  TakeDueReports(state, 8, kNow + minutes(11));
  CHECK(state.m_suspects.empty());
}

} // namespace heatherdeal::quarantine
