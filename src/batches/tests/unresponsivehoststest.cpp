#include "batches/unresponsivehosts.h"

#include "catch2/catch.hpp"

namespace heatherdeal::batches {

using std::chrono::milliseconds;

TEST_CASE(
  "calls avoid an unresponsive host for a while, but not one that refuses")
{
  const core::Instant now{ milliseconds(5000) };
  UnresponsiveHosts reach;
  RecordFailure(reach, "refuses", milliseconds(3), now);
  RecordFailure(reach, "silent", milliseconds(400), now);
  CHECK_FALSE(IsAvoided(reach, "refuses", now));
  CHECK(IsAvoided(reach, "silent", now));
  CHECK(IsAvoided(reach, "silent", now + milliseconds(900)));
  CHECK_FALSE(IsAvoided(reach, "silent", now + milliseconds(1000)));
}

TEST_CASE("calls stop avoiding a host as soon as it responds")
{
  const core::Instant now{ milliseconds(5000) };
  UnresponsiveHosts reach;
  RecordFailure(reach, "h", milliseconds(400), now);
  RecordResponse(reach, "h");
  CHECK_FALSE(IsAvoided(reach, "h", now));
}

} // namespace heatherdeal::batches
