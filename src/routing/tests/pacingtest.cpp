#include "routing/pacing.h"

#include "catch2/catch.hpp"

namespace heatherdeal::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::Instant kNow(seconds(100));

/// Returns how many permits are taken by a host that takes each one at once.
int
CountPermits(PacedPermits aPermits, core::Instant aFrom, core::Duration aFor)
{
  int count = 0;
  for (core::Instant now = aFrom; now < aFrom + aFor; now += milliseconds(1)) {
    if (FindNextPermit(aPermits) <= now) {
      TakePermit(aPermits, now);
      count += 1;
    }
  }
  return count;
}

} // namespace

TEST_CASE("permits come at the rate that was set and are not saved up")
{
  PacedPermits permits{ .m_updatedAt = kNow };
  SetRate(permits, 2.0, kNow);
  CHECK(FindNextPermit(permits) > kNow + milliseconds(499));
  CHECK(CountPermits(permits, kNow, seconds(10)) == 19);
  // After a long pause there are those of a short time, not many.
  CHECK(CountPermits(permits, kNow + seconds(60), milliseconds(400)) == 3);
}

TEST_CASE("a rate of zero gives no permit, and a changed rate keeps the rest")
{
  PacedPermits permits{ .m_updatedAt = kNow };
  CHECK(FindNextPermit(permits) == core::Instant::max());
  SetRate(permits, 1.0, kNow);
  SetRate(permits, 0.0, kNow + milliseconds(800));
  CHECK(FindNextPermit(permits) == core::Instant::max());
  SetRate(permits, 1.0, kNow + seconds(5));
  CHECK(FindNextPermit(permits) < kNow + seconds(5) + milliseconds(210));
}

TEST_CASE("a request that is sent without a permit delays the next ones")
{
  PacedPermits permits{ .m_updatedAt = kNow };
  SetRate(permits, 1.0, kNow);
  TakePermit(permits, kNow);
  CHECK(FindNextPermit(permits) > kNow + milliseconds(1999));
}

} // namespace heatherdeal::routing
