#include "relay/reachability.h"

#include "catch2/catch.hpp"

namespace heatherdeal::relay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Instant kNow{ seconds(100) };

} // namespace

TEST_CASE("a request without an answer leads to one check")
{
  Reachability state;
  CHECK(Apply(state, RequestUnanswered{}, kNow) == NextCheck::Now);
  CHECK(Apply(state, RequestUnanswered{}, kNow) == NextCheck::NotNow);
  CHECK_FALSE(IsCutOff(state));
}

TEST_CASE("checks are spaced out while upstreams accept connections")
{
  Reachability state;
  Apply(state, RequestUnanswered{}, kNow);
  Apply(state, CheckEnded{ true }, kNow);
  CHECK_FALSE(IsCutOff(state));
  CHECK(Apply(state, RequestUnanswered{}, kNow + milliseconds(900)) ==
        NextCheck::NotNow);
  CHECK(Apply(state, RequestUnanswered{}, kNow + seconds(1)) == NextCheck::Now);
}

// Guards against a host that stays on detours after its links have healed, or
// that gives them up while it is still cut off (RECOVER).
TEST_CASE(
  "a host that is cut off checks until an upstream accepts a connection")
{
  Reachability state;
  Apply(state, RequestUnanswered{}, kNow);
  Apply(state, CheckEnded{ false }, kNow);
  CHECK(IsCutOff(state));
  CHECK(Apply(state, RequestUnanswered{}, kNow) == NextCheck::NotNow);
  core::Instant now = kNow;
  for (int i = 0; i < 20; ++i) {
    CHECK(Apply(state, CheckTimeReached{}, now) == NextCheck::NotNow);
    now = std::get<CutOff>(state).m_nextCheckAt;
    CHECK(now > kNow);
    CHECK(Apply(state, CheckTimeReached{}, now) == NextCheck::Now);
    CHECK(Apply(state, CheckTimeReached{}, now) == NextCheck::NotNow);
    CHECK(IsCutOff(state));
    Apply(state, CheckEnded{ false }, now);
  }
  now = std::get<CutOff>(state).m_nextCheckAt;
  Apply(state, CheckTimeReached{}, now);
  Apply(state, CheckEnded{ true }, now);
  CHECK_FALSE(IsCutOff(state));
}

} // namespace heatherdeal::relay
