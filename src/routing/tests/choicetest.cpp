#include "routing/choice.h"
#include "routing/ejection.h"

#include "catch2/catch.hpp"

namespace heatherdeal::routing {

namespace {

const core::Instant kNow(std::chrono::seconds(100));

std::vector<UpstreamFacts>
MakeFacts(size_t aCount)
{
  std::vector<UpstreamFacts> facts(aCount);
  for (size_t i = 0; i < aCount; ++i) {
    facts[i].m_failureDomain.m_value = i % 2 == 0 ? "near" : "far";
    facts[i].m_slots = 10;
  }
  return facts;
}

/// Returns how often each upstream is chosen in 1000 choices.
std::vector<size_t>
CountChoices(std::span<const UpstreamFacts> aFacts,
             const configuration::RoutingPolicy& aPolicy)
{
  std::vector<size_t> counts(aFacts.size());
  for (uint64_t sequence = 0; sequence < 1000; ++sequence) {
    const auto chosen = ChooseUpstream(
      SourceOf(aFacts), aPolicy, { { "near" }, {}, sequence, kNow });
    if (chosen) {
      counts[*chosen] += 1;
    }
  }
  return counts;
}

} // namespace

TEST_CASE("draining, ejected and already tried upstreams are not chosen")
{
  auto facts = MakeFacts(4);
  facts[0].m_leaving = true;
  facts[1].m_ejectedUntil = kNow + std::chrono::seconds(1);
  const std::vector<size_t> tried{ 2 };
  const std::vector<configuration::RoutingPolicy> policies{
    configuration::TwoChoices{},
    configuration::RoundRobin{},
    configuration::LeastReportedLoad{},
    configuration::LeastExpectedWork{}
  };
  for (const auto& policy : policies) {
    for (uint64_t sequence = 0; sequence < 100; ++sequence) {
      const auto chosen = ChooseUpstream(
        SourceOf(facts), policy, { { "near" }, tried, sequence, kNow });
      REQUIRE(chosen.has_value());
      CHECK(*chosen == 3);
    }
    facts[3].m_leaving = true;
    CHECK_FALSE(
      ChooseUpstream(SourceOf(facts), policy, { { "near" }, tried, 1, kNow })
        .has_value());
    facts[3].m_leaving = false;
    CHECK_FALSE(
      ChooseUpstream(UpstreamSource{}, policy, { { "near" }, {}, 1, kNow }));
  }
}

TEST_CASE(
  "upstreams in the local failure domain are preferred until overloaded")
{
  auto facts = MakeFacts(4);
  const configuration::RoutingPolicy policy = configuration::TwoChoices{ 50 };
  const auto idle = CountChoices(facts, policy);
  CHECK(idle[0] + idle[2] > 600);
  facts[0].m_outstanding = 9;
  facts[2].m_outstanding = 9;
  const auto loaded = CountChoices(facts, policy);
  CHECK(loaded[1] + loaded[3] > 600);
}

TEST_CASE("a stale load report weighs less than requests in flight")
{
  auto facts = MakeFacts(2);
  facts[1].m_failureDomain = facts[0].m_failureDomain;
  facts[0].m_reportedLoad = 10;
  facts[0].m_reportedAt = kNow - std::chrono::seconds(10);
  facts[1].m_outstanding = 1;
  const auto counts = CountChoices(facts, configuration::TwoChoices{});
  CHECK(counts[0] > counts[1]);
  facts[0].m_reportedAt = kNow;
  const auto fresh = CountChoices(facts, configuration::TwoChoices{});
  CHECK(fresh[1] > fresh[0]);
}

TEST_CASE("ejections grow longer, end, and are limited to a share of the pool")
{
  EjectionState state;
  const EjectionPolicy policy;
  for (int i = 0; i < 2; ++i) {
    RecordFailure(state, policy, { 4, 0 }, kNow);
    CHECK(state.m_ejectionEnd <= kNow);
  }
  RecordFailure(state, policy, { 4, 0 }, kNow);
  CHECK(state.m_ejectionEnd == kNow + policy.m_initialDuration);
  for (int i = 0; i < 3; ++i) {
    RecordFailure(state, policy, { 4, 0 }, kNow);
  }
  CHECK(state.m_ejectionEnd == kNow + 2 * policy.m_initialDuration);
  EjectionState capped;
  for (int i = 0; i < 10; ++i) {
    RecordFailure(capped, policy, { 4, 2 }, kNow);
  }
  CHECK(capped.m_ejectionEnd <= kNow);
  RecordSuccess(state);
  CHECK(state.m_consecutiveFailures == 0);
}

} // namespace heatherdeal::routing
