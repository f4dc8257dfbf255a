#include "routing/choice.h"
#include "routing/ejection.h"

#include "catch2/catch.hpp"

namespace heatherdeal::routing {

namespace {

const core::Instant kNow(std::chrono::seconds(100));

std::vector<UpstreamFacts>
Facts(size_t aCount)
{
  std::vector<UpstreamFacts> facts(aCount);
  for (size_t i = 0; i < aCount; ++i) {
    facts[i].m_failureDomain.m_value = i % 2 == 0 ? "near" : "far";
    facts[i].m_slots = 10;
  }
  return facts;
}

/// How often each upstream is chosen in many tries.
std::vector<size_t>
Draws(std::span<const UpstreamFacts> aFacts,
      const configuration::RoutingPolicy& aPolicy)
{
  std::vector<size_t> counts(aFacts.size());
  for (uint64_t ticket = 0; ticket < 1000; ++ticket) {
    const auto chosen = ChooseUpstream(
      SourceOf(aFacts), aPolicy, { { "near" }, {}, ticket, kNow });
    if (chosen) {
      counts[*chosen] += 1;
    }
  }
  return counts;
}

} // namespace

TEST_CASE("leaving, ejected and tried upstreams are not chosen")
{
  auto facts = Facts(4);
  facts[0].m_leaving = true;
  facts[1].m_ejectedUntil = kNow + std::chrono::seconds(1);
  const std::vector<size_t> tried{ 2 };
  const std::vector<configuration::RoutingPolicy> policies{
    configuration::TwoChoices{},
    configuration::RoundRobin{},
    configuration::LeastReportedLoad{}
  };
  for (const auto& policy : policies) {
    for (uint64_t ticket = 0; ticket < 100; ++ticket) {
      const auto chosen = ChooseUpstream(
        SourceOf(facts), policy, { { "near" }, tried, ticket, kNow });
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

TEST_CASE("the own failure domain is preferred until it is overloaded")
{
  auto facts = Facts(4);
  const configuration::RoutingPolicy policy = configuration::TwoChoices{ 50 };
  const auto idle = Draws(facts, policy);
  CHECK(idle[0] + idle[2] > 600);
  facts[0].m_outstanding = 9;
  facts[2].m_outstanding = 9;
  const auto loaded = Draws(facts, policy);
  CHECK(loaded[1] + loaded[3] > 600);
}

TEST_CASE("an old report counts less than the own requests")
{
  auto facts = Facts(2);
  facts[1].m_failureDomain = facts[0].m_failureDomain;
  facts[0].m_reported = 10;
  facts[0].m_reportedAt = kNow - std::chrono::seconds(10);
  facts[1].m_outstanding = 1;
  const auto counts = Draws(facts, configuration::TwoChoices{});
  CHECK(counts[0] > counts[1]);
  facts[0].m_reportedAt = kNow;
  const auto fresh = Draws(facts, configuration::TwoChoices{});
  CHECK(fresh[1] > fresh[0]);
}

TEST_CASE("ejection grows, ends, and stops at its cap")
{
  EjectionState state;
  const EjectionPolicy policy;
  for (int i = 0; i < 2; ++i) {
    NoteFailure(state, policy, { 4, 0 }, kNow);
    CHECK(state.m_until <= kNow);
  }
  NoteFailure(state, policy, { 4, 0 }, kNow);
  CHECK(state.m_until == kNow + policy.m_first);
  for (int i = 0; i < 3; ++i) {
    NoteFailure(state, policy, { 4, 0 }, kNow);
  }
  CHECK(state.m_until == kNow + 2 * policy.m_first);
  EjectionState capped;
  for (int i = 0; i < 10; ++i) {
    NoteFailure(capped, policy, { 4, 2 }, kNow);
  }
  CHECK(capped.m_until <= kNow);
  NoteSuccess(state);
  CHECK(state.m_failuresInRow == 0);
}

} // namespace heatherdeal::routing
