#include "batches/unresponsivehosts.h"

#include "catch2/catch.hpp"

namespace heatherdeal::batches {

using std::chrono::milliseconds;

TEST_CASE(
  "calls avoid an unresponsive host for a while, but not one that refuses")
{
  const core::Instant now{ milliseconds(5000) };
  UnresponsiveHosts hosts;
  RecordFailure(hosts, "refuses", milliseconds(3), now);
  RecordFailure(hosts, "silent", milliseconds(400), now);
  CHECK_FALSE(IsAvoided(hosts, "refuses", now));
  CHECK(IsAvoided(hosts, "silent", now));
  CHECK(IsAvoided(hosts, "silent", now + milliseconds(900)));
  CHECK_FALSE(IsAvoided(hosts, "silent", now + milliseconds(1000)));
}

TEST_CASE("calls stop avoiding a host as soon as it responds")
{
  const core::Instant now{ milliseconds(5000) };
  UnresponsiveHosts hosts;
  RecordFailure(hosts, "h", milliseconds(400), now);
  RecordResponse(hosts, "h");
  CHECK_FALSE(IsAvoided(hosts, "h", now));
}

} // namespace heatherdeal::batches
