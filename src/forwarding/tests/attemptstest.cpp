#include "forwarding/attempts.h"

#include "catch2/catch.hpp"

namespace heatherdeal::forwarding {

namespace {

const core::Instant kNow(std::chrono::seconds(100));
const core::Instant kDeadline = kNow + std::chrono::seconds(10);
const core::Failure kDidNotRun =
  core::ConnectionFailed{ "a", core::Executed::No };
const core::Failure kMayHaveRun =
  core::ConnectionFailed{ "b", core::Executed::Unknown };

constexpr size_t kRetryCall = 0;
constexpr size_t kFailCall = 1;
constexpr size_t kAbortResponse = 2;

} // namespace

TEST_CASE(
  "a call is retried only if it is safe, in budget and before its deadline")
{
  struct Case
  {
    const char* m_name;
    RetryConstraints m_constraints;
    CallProgress m_progress;
    core::Failure m_failure;
    double m_budget;
    size_t m_expectedStep;
  };
  const RetryConstraints idempotent{ true, 3, kDeadline };
  const RetryConstraints nonIdempotent{ false, 3, kDeadline };
  const std::vector<Case> cases{
    { "idempotent, may have run", idempotent, {}, kMayHaveRun, 10, kRetryCall },
    { "non-idempotent, did not run",
      nonIdempotent,
      {},
      kDidNotRun,
      10,
      kRetryCall },
    { "non-idempotent, may have run",
      nonIdempotent,
      {},
      kMayHaveRun,
      10,
      kFailCall },
    { "an earlier attempt may have run",
      nonIdempotent,
      { 1, false, kMayHaveRun },
      kDidNotRun,
      10,
      kFailCall },
    { "maximum attempts reached",
      idempotent,
      { 2, false, kDidNotRun },
      kDidNotRun,
      10,
      kFailCall },
    { "retry budget exhausted", idempotent, {}, kDidNotRun, 0.5, kFailCall },
    { "deadline passed", { true, 3, kNow }, {}, kDidNotRun, 10, kFailCall },
    { "no upstream", idempotent, {}, core::NoUpstream{ "s" }, 10, kFailCall },
    { "response started",
      idempotent,
      { 0, true, {} },
      kMayHaveRun,
      10,
      kAbortResponse },
  };
  for (const Case& c : cases) {
    INFO(c.m_name);
    CallProgress progress = c.m_progress;
    RetryBudgetState budget{ c.m_budget };
    const NextStep step =
      DecideAfterFailure(progress, c.m_constraints, budget, c.m_failure, kNow);
    CHECK(step.index() == c.m_expectedStep);
  }
}

TEST_CASE(
  "the reported failure says that a call may have run if any attempt may have")
{
  CallProgress progress;
  RetryBudgetState budget;
  const RetryConstraints constraints{ true, 5, kDeadline };
  DecideAfterFailure(progress, constraints, budget, kMayHaveRun, kNow);
  const NextStep step = DecideAfterFailure(
    progress, constraints, budget, core::NoUpstream{ "s" }, kNow);
  REQUIRE(std::holds_alternative<FailCall>(step));
  CHECK(core::ExecutedOf(std::get<FailCall>(step).m_failure) ==
        core::Executed::Unknown);
}

TEST_CASE("the retry budget limits retries to ten percent of the calls")
{
  RetryBudgetState budget{ 0.0 };
  const RetryConstraints constraints{ true, 2, kDeadline };
  size_t retries = 0;
  for (int call = 0; call < 1000; ++call) {
    CreditRetryBudget(budget, RetryBudgetPolicy{});
    CallProgress progress;
    const NextStep step =
      DecideAfterFailure(progress, constraints, budget, kDidNotRun, kNow);
    retries += std::holds_alternative<RetryCall>(step) ? 1 : 0;
  }
  CHECK(retries >= 95);
  CHECK(retries <= 100);
}

} // namespace heatherdeal::forwarding
