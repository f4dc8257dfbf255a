#include "batches/reach.h"

#include "catch2/catch.hpp"

namespace heatherdeal::batches {

using std::chrono::milliseconds;

TEST_CASE(
  "calls avoid an unresponsive host for a while, but not one that refuses")
{
  const core::Instant now{ milliseconds(5000) };
  Reach reach;
  NoteFailure(reach, "refuses", milliseconds(3), now);
  NoteFailure(reach, "silent", milliseconds(400), now);
  CHECK_FALSE(Rests(reach, "refuses", now));
  CHECK(Rests(reach, "silent", now));
  CHECK(Rests(reach, "silent", now + milliseconds(900)));
  CHECK_FALSE(Rests(reach, "silent", now + milliseconds(1000)));
}

TEST_CASE("calls stop avoiding a host as soon as it responds")
{
  const core::Instant now{ milliseconds(5000) };
  Reach reach;
  NoteFailure(reach, "h", milliseconds(400), now);
  NoteAnswer(reach, "h");
  CHECK_FALSE(Rests(reach, "h", now));
}

} // namespace heatherdeal::batches
