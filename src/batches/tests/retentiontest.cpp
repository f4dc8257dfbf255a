#include "batches/retention.h"

#include "catch2/catch.hpp"

namespace heatherdeal::batches {

// Guards against batches that are deleted while their trainer waits for them
// (LOST).
TEST_CASE("an open batch never expires, and an ended one does after a while")
{
  using std::chrono::minutes;
  using std::chrono::seconds;
  constexpr int64_t kAcceptedAt = 1'700'000'000'000;
  const auto at = [](core::Duration aAge) {
    return kAcceptedAt +
           std::chrono::duration_cast<std::chrono::milliseconds>(aAge).count();
  };
  Placement placement;
  placement.m_acceptedAt = kAcceptedAt;
  CHECK_FALSE(IsExpired(placement, at(minutes(10)), seconds(150)));
  CHECK_FALSE(IsExpired(placement, at(std::chrono::hours(24)), seconds(150)));
  placement.m_ended = true;
  CHECK_FALSE(IsExpired(placement, at(seconds(150)), seconds(150)));
  CHECK(IsExpired(placement, at(seconds(151)), seconds(150)));
}

} // namespace heatherdeal::batches
