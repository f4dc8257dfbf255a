#include "forwarding/attempts.h"
#include "forwarding/quarantine.h"

#include "catch2/catch.hpp"

namespace heatherdeal::forwarding {

namespace {

const core::Instant kNow(std::chrono::seconds(100));
const core::Instant kLater = kNow + std::chrono::seconds(10);
const core::Failure kNotRun = core::ConnectionFailed{ "a", core::Executed::No };
const core::Failure kMaybeRun =
  core::ConnectionFailed{ "b", core::Executed::Unknown };

constexpr size_t kTryAgain = 0;
constexpr size_t kGiveUp = 1;
constexpr size_t kBreakOff = 2;

} // namespace

TEST_CASE(
  "a call is retried only if it is safe, in budget and before its deadline")
{
  struct Case
  {
    const char* m_name;
    CallFacts m_facts;
    CallProgress m_progress;
    core::Failure m_failure;
    double m_budget;
    size_t m_step;
  };
  const CallFacts twice{ true, 3, kLater };
  const CallFacts once{ false, 3, kLater };
  const std::vector<Case> cases{
    { "idempotent, may have run", twice, {}, kMaybeRun, 10, kTryAgain },
    { "non-idempotent, did not run", once, {}, kNotRun, 10, kTryAgain },
    { "non-idempotent, may have run", once, {}, kMaybeRun, 10, kGiveUp },
    { "an earlier attempt may have run",
      once,
      { 1, false, kMaybeRun },
      kNotRun,
      10,
      kGiveUp },
    { "maximum attempts reached",
      twice,
      { 2, false, kNotRun },
      kNotRun,
      10,
      kGiveUp },
    { "retry budget exhausted", twice, {}, kNotRun, 0.5, kGiveUp },
    { "deadline passed", { true, 3, kNow }, {}, kNotRun, 10, kGiveUp },
    { "no upstream", twice, {}, core::NoUpstream{ "s" }, 10, kGiveUp },
    { "response started", twice, { 0, true, {} }, kMaybeRun, 10, kBreakOff },
  };
  for (const Case& c : cases) {
    INFO(c.m_name);
    CallProgress progress = c.m_progress;
    RetryBudgetState budget{ c.m_budget };
    const NextStep step =
      AfterFailure(progress, c.m_facts, budget, c.m_failure, kNow);
    CHECK(step.index() == c.m_step);
  }
}

TEST_CASE(
  "the reported failure says that a call may have run if any attempt may have")
{
  CallProgress progress;
  RetryBudgetState budget;
  const CallFacts facts{ true, 5, kLater };
  AfterFailure(progress, facts, budget, kMaybeRun, kNow);
  const NextStep step =
    AfterFailure(progress, facts, budget, core::NoUpstream{ "s" }, kNow);
  REQUIRE(std::holds_alternative<GiveUp>(step));
  CHECK(core::ExecutedOf(std::get<GiveUp>(step).m_failure) ==
        core::Executed::Unknown);
}

TEST_CASE("the retry budget limits retries to ten percent of the calls")
{
  RetryBudgetState budget{ 0.0 };
  const CallFacts facts{ true, 2, kLater };
  size_t retries = 0;
  for (int call = 0; call < 1000; ++call) {
    NoteCall(budget, RetryBudgetPolicy{});
    CallProgress progress;
    const NextStep step = AfterFailure(progress, facts, budget, kNotRun, kNow);
    retries += std::holds_alternative<TryAgain>(step) ? 1 : 0;
  }
  CHECK(retries >= 95);
  CHECK(retries <= 100);
}

TEST_CASE("only a request that breaks two different upstreams is refused")
{
  QuarantineState state;
  const QuarantinePolicy policy;
  CHECK_FALSE(NoteBroken(state, policy, 1, { "a" }, kNow));
  CHECK_FALSE(NoteBroken(state, policy, 2, { "a" }, kNow));
  CHECK_FALSE(NoteBroken(state, policy, 1, { "a" }, kNow));
  NoteAnswered(state, 2);
  CHECK(NoteBroken(state, policy, 1, { "b" }, kNow));
  CHECK(IsRefused(state, 1, kNow));
  CHECK_FALSE(IsRefused(state, 2, kNow));
  CHECK_FALSE(IsRefused(state, 1, kNow + policy.m_refuseTime));
}

TEST_CASE("the number of suspect requests is limited")
{
  QuarantineState state;
  QuarantinePolicy policy;
  policy.m_maxEntries = 8;
  for (uint64_t request = 0; request < 100; ++request) {
    NoteBroken(state, policy, request, { "a" }, kNow);
  }
  CHECK(state.m_requests.size() == 8);
}

} // namespace heatherdeal::forwarding
