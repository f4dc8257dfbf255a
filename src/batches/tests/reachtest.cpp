#include "batches/reach.h"

#include "catch2/catch.hpp"

namespace heatherdeal::batches {

using std::chrono::milliseconds;

TEST_CASE("a silent host is left alone for a while, one that refuses is not")
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

TEST_CASE("a host that answers is asked again at once")
{
  const core::Instant now{ milliseconds(5000) };
  Reach reach;
  NoteFailure(reach, "h", milliseconds(400), now);
  NoteAnswer(reach, "h");
  CHECK_FALSE(Rests(reach, "h", now));
}

} // namespace heatherdeal::batches
