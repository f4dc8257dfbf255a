#include "routing/choice.h"

#include <random>

#include "catch2/catch.hpp"

#include "routing/workestimate.h"
#include "routing/worktime.h"

namespace heatherdeal::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::Instant kNow(seconds(100));
constexpr WorkKey kCheap{ 1 };
constexpr WorkKey kExpensive{ 2 };
constexpr WorkKey kUnknown{ 3 };

void
AddSamples(WorkEstimates& aEstimates,
           WorkKey aKey,
           core::Duration aElapsed,
           size_t aCount)
{
  for (size_t i = 0; i < aCount; ++i) {
    AddSample(aEstimates, { aKey, aElapsed, 1.0, false }, kNow);
  }
}

std::vector<UpstreamFacts>
MakeFacts(size_t aCount)
{
  std::vector<UpstreamFacts> facts(aCount);
  for (UpstreamFacts& upstream : facts) {
    upstream.m_failureDomain.m_value = "near";
    upstream.m_slots = 6;
  }
  return facts;
}

/// Returns how often each upstream is chosen for a request in 1000 choices.
std::vector<size_t>
CountChoices(const std::vector<UpstreamFacts>& aFacts,
             const ExpectedWork& aWork)
{
  std::vector<size_t> counts(aFacts.size());
  for (uint64_t sequence = 0; sequence < 1000; ++sequence) {
    const auto chosen =
      ChooseUpstream(SourceOf(std::span<const UpstreamFacts>(aFacts)),
                     configuration::LeastExpectedWork{},
                     { { "near" }, {}, sequence, kNow, aWork });
    counts[*chosen] += 1;
  }
  return counts;
}

} // namespace

// Guards against a policy that behaves worse than TwoChoices where there is
// nothing to learn (load: equal calls on equal upstreams).
TEST_CASE("with equal requests and upstreams, expected work is TwoChoices")
{
  std::mt19937_64 random(7);
  // The latter is the expectation before the first answer.
  const ExpectedWork work =
    GENERATE(ExpectedWork{ 25'000.0, 25'000.0, 25'000.0 }, ExpectedWork{});
  for (int round = 0; round < 300; ++round) {
    auto facts = MakeFacts(18);
    for (UpstreamFacts& upstream : facts) {
      upstream.m_failureDomain.m_value = random() % 3 == 0 ? "near" : "far";
      upstream.m_outstanding = static_cast<uint32_t>(random() % 5);
      upstream.m_outstandingWork = upstream.m_outstanding * work.m_request;
      upstream.m_reportedLoad = static_cast<uint32_t>(random() % 12);
      upstream.m_reportedSlots = upstream.m_slots;
      upstream.m_reportedAt = kNow - milliseconds(random() % 500);
      upstream.m_leaving = random() % 10 == 0;
    }
    const std::vector<size_t> tried{ random() % facts.size() };
    for (uint64_t sequence = 0; sequence < 100; ++sequence) {
      const ChoiceRequest request{ { "near" }, tried, sequence, kNow, work };
      const UpstreamSource source =
        SourceOf(std::span<const UpstreamFacts>(facts));
      REQUIRE(
        ChooseUpstream(source, configuration::LeastExpectedWork{}, request) ==
        ChooseUpstream(source, configuration::TwoChoices{}, request));
    }
  }
}

// Guards against routing by the number of requests (load: short calls mixed
// with calls of 200 ms).
TEST_CASE("few long requests count as more work than many short ones")
{
  auto facts = MakeFacts(2);
  facts[0].m_outstanding = 1;
  facts[0].m_outstandingWork = 200'000.0;
  facts[1].m_outstanding = 3;
  facts[1].m_outstandingWork = 75'000.0;
  const auto counts = CountChoices(facts, { 25'000.0, 45'000.0, 45'000.0 });
  CHECK(counts[1] > counts[0]);
}

// Guards against sending to a machine in a slow phase, and against avoiding it
// for longer than such a phase lasts.
TEST_CASE("an upstream that reports slow work is avoided while that is fresh")
{
  auto facts = MakeFacts(2);
  const ExpectedWork work{ 25'000.0, 25'000.0, 25'000.0 };
  for (int i = 0; i < 100; ++i) {
    RecordReport(
      facts[0].m_workTime, 1.0, kNow - seconds(20) + milliseconds(100 * i));
  }
  RecordReport(facts[0].m_workTime, 2.5, kNow - milliseconds(50));
  CHECK(CountChoices(facts, work)[0] < 400);
  facts[0].m_workTime.m_reportedAt = kNow - milliseconds(700);
  facts[0].m_workTime.m_meanReported = 1.05;
  CHECK(CountChoices(facts, work)[0] > 400);
}

// Guards against a request that waits in a slow phase because both upstreams
// that were compared are in one (load: phases of 600 ms on many machines).
TEST_CASE("more upstreams are compared if the chosen one is in a slow phase")
{
  auto facts = MakeFacts(9);
  for (size_t i = 0; i < facts.size(); ++i) {
    RecordReport(facts[i].m_workTime, 1.0, kNow - seconds(2));
    if (i % 3 != 0) {
      RecordReport(facts[i].m_workTime, 2.5, kNow);
      facts[i].m_workTime.m_meanReported = 1.1;
    }
  }
  const auto counts = CountChoices(facts, { 25'000.0, 25'000.0, 25'000.0 });
  // Of two upstreams, both are slow in 4 of 9 draws; of four, in 16 of 81.
  CHECK(counts[0] + counts[3] + counts[6] > 700);
}

// Guards against too many requests to an upstream whose slots have changed
// since the host list was written (load: upstreams of different sizes).
TEST_CASE("a reported slot count replaces the one of the host list")
{
  auto facts = MakeFacts(2);
  for (UpstreamFacts& upstream : facts) {
    upstream.m_outstanding = 3;
    upstream.m_outstandingWork = 75'000.0;
  }
  facts[1].m_reportedSlots = 24;
  const auto counts = CountChoices(facts, { 25'000.0, 25'000.0, 25'000.0 });
  CHECK(counts[1] > 2 * counts[0]);
}

// Guards against one estimate for short and long calls, and against a new route
// that counts as free (load: calls of 20 ms and 200 ms on one service).
TEST_CASE("classes are told apart, and an unknown one has the service's mean")
{
  WorkEstimates estimates;
  CHECK(Estimate(estimates, kUnknown).m_request == kNeutralWork);
  CHECK(Estimate(estimates, kUnknown).m_mean == kNeutralWork);
  for (int i = 0; i < 200; ++i) {
    AddSamples(estimates, kCheap, milliseconds(20), 1);
    AddSamples(estimates, kExpensive, milliseconds(200), 1);
  }
  const double cheap = Estimate(estimates, kCheap).m_request;
  const double expensive = Estimate(estimates, kExpensive).m_request;
  CHECK(cheap == Approx(20'000.0).epsilon(0.35));
  CHECK(expensive == Approx(200'000.0).epsilon(0.1));
  CHECK(Estimate(estimates, kUnknown).m_request ==
        Approx(110'000.0).epsilon(0.1));
  // Long requests are more frequent among those in flight.
  CHECK(Estimate(estimates, kCheap).m_inFlightMean >
        Estimate(estimates, kCheap).m_mean * 1.3);
}

// Guards against one stalled answer that sends later requests elsewhere (load:
// calls with a tail, and a machine that freezes for seconds).
TEST_CASE("one wrong sample moves an estimate by less than a quarter")
{
  WorkEstimates estimates;
  AddSamples(estimates, kCheap, milliseconds(25), 100);
  const double before = Estimate(estimates, kCheap).m_request;
  AddSamples(estimates, kCheap, seconds(30), 1);
  CHECK(Estimate(estimates, kCheap).m_request < 1.25 * before);
  CHECK(Estimate(estimates, kCheap).m_request > before);
  // It is forgotten.
  AddSamples(estimates, kCheap, milliseconds(25), 100);
  CHECK(Estimate(estimates, kCheap).m_request < 1.02 * before);
}

// Guards against an estimate that stays after a new release of an upstream
// changed the cost (load: calls that take four times as long from now on).
TEST_CASE("an estimate follows a lasting change of the cost")
{
  WorkEstimates estimates;
  AddSamples(estimates, kCheap, milliseconds(25), 100);
  AddSamples(estimates, kCheap, milliseconds(100), 100);
  CHECK(Estimate(estimates, kCheap).m_request ==
        Approx(100'000.0).epsilon(0.1));
}

// Guards against estimates that grow with the queue of a full upstream (load:
// more requests than slots).
TEST_CASE("samples that contain a wait are used only without any other")
{
  WorkEstimates estimates;
  AddSample(estimates, { kExpensive, seconds(2), 1.0, true }, kNow);
  CHECK(Estimate(estimates, kExpensive).m_request == Approx(2e6));
  AddSamples(estimates, kCheap, milliseconds(25), 50);
  const double before = Estimate(estimates, kCheap).m_request;
  CHECK_FALSE(
    AddSample(estimates, { kCheap, seconds(2), 1.0, true }, kNow).has_value());
  CHECK(Estimate(estimates, kCheap).m_request == before);
}

// Guards against estimates that depend on which machines served the samples
// (load: machines in slow phases).
TEST_CASE("samples are normalised by the reported work time")
{
  WorkEstimates estimates;
  for (int i = 0; i < 50; ++i) {
    AddSample(estimates, { kCheap, milliseconds(50), 2.0, false }, kNow);
  }
  CHECK(Estimate(estimates, kCheap).m_request == Approx(25'000.0));
}

// Guards against memory that grows with the number of routes and sizes (load:
// callers with arbitrary body sizes, routes that change).
TEST_CASE("the number of classes is bounded")
{
  WorkEstimates estimates;
  for (uint64_t i = 0; i < 1000; ++i) {
    AddSample(estimates,
              { { i }, milliseconds(25), 1.0, false },
              kNow + milliseconds(i));
  }
  CHECK(estimates.m_classes.size() <= 128);
  CHECK(estimates.m_classes.contains({ 999 }));
}

// Guards against an upstream that a few requests make seem unusable (load:
// upstreams that report no work time).
TEST_CASE("work time learned from requests is bounded and starts as usual")
{
  WorkTimeState state;
  CHECK(ExpectWorkTime(state, kNow) == 1.0);
  RecordRatio(state, 100.0);
  CHECK(ExpectWorkTime(state, kNow) < 2.5);
  for (int i = 0; i < 500; ++i) {
    RecordRatio(state, 100.0);
  }
  CHECK(ExpectWorkTime(state, kNow) <= 4.0);
  for (int i = 0; i < 500; ++i) {
    RecordRatio(state, 1.6);
  }
  CHECK(ExpectWorkTime(state, kNow) == Approx(1.6).epsilon(0.1));
}

// Guards against an upstream that attracts all requests by a wrong report
// (load: a machine whose fourth figure is 1).
TEST_CASE("what requests take corrects a work time that is reported too low")
{
  WorkTimeState state;
  RecordReport(state, 0.01, kNow);
  const double claimed = ExpectWorkTime(state, kNow);
  CHECK(claimed >= 0.25);
  for (int i = 0; i < 100; ++i) {
    RecordReport(state, 0.01, kNow);
    RecordRatio(state, 1.0 / claimed);
  }
  CHECK(ExpectWorkTime(state, kNow) == Approx(1.0).epsilon(0.15));
}

} // namespace heatherdeal::routing
