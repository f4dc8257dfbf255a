#include "batches/serviceturns.h"

#include "catch2/catch.hpp"

namespace heatherdeal::batches {

namespace {

const core::ServiceId kOne{ "one" };
const core::ServiceId kOther{ "other" };

configuration::Route
MakeSplitRoute()
{
  configuration::Route route;
  route.m_services = { { kOne, 75 }, { kOther, 25 } };
  return route;
}

core::Instant
At(int aMilliseconds)
{
  return core::Instant(std::chrono::milliseconds(aMilliseconds));
}

/// Starts items for as long as a service takes them; only aTaking takes any.
/// Returns how many it has taken.
int
StartItems(ServiceTurns& aTurns,
           int aItems,
           const core::ServiceId& aTaking,
           ServiceState aOtherState,
           core::Instant aNow)
{
  const configuration::Route route = MakeSplitRoute();
  int taken = 0;
  for (int i = 0; i < aItems; ++i) {
    std::vector<core::ServiceId> tried;
    auto service = FindServiceInTurn(aTurns, route, tried);
    while (service && *service != aTaking) {
      tried.push_back(*service);
      if (!RecordNotTaken(aTurns, *service, aOtherState, aNow)) {
        return taken;
      }
      service = FindServiceInTurn(aTurns, route, tried);
    }
    RecordTaken(aTurns, aTaking);
    taken += 1;
  }
  return taken;
}

} // namespace

TEST_CASE("services take turns in proportion to their weights")
{
  ServiceTurns turns;
  const configuration::Route route = MakeSplitRoute();
  int ofOther = 0;
  for (int i = 0; i < 100; ++i) {
    const auto service = FindServiceInTurn(turns, route, {});
    REQUIRE(service);
    RecordTaken(turns, *service);
    ofOther += *service == kOther ? 1 : 0;
  }
  CHECK(ofOther == 25);
}

// Guards against a batch that stays for good at a service that takes nothing.
TEST_CASE("the turn of a service without engines passes at once")
{
  ServiceTurns turns;
  CHECK(StartItems(turns, 50, kOther, ServiceState::WithoutEngines, At(0)) ==
        50);
}

TEST_CASE(
  "a busy service is waited for once, then passed over until it takes an "
  "item again")
{
  ServiceTurns turns;
  CHECK(StartItems(turns, 50, kOther, ServiceState::Busy, At(0)) < 50);
  CHECK(StartItems(turns, 50, kOther, ServiceState::Busy, At(999)) == 0);
  CHECK(StartItems(turns, 50, kOther, ServiceState::Busy, At(1000)) == 50);
  RecordTaken(turns, kOne);
  CHECK(StartItems(turns, 50, kOther, ServiceState::Busy, At(1001)) < 50);
}

TEST_CASE("a busy service that loses its engines is no longer waited for")
{
  ServiceTurns turns;
  CHECK(StartItems(turns, 50, kOther, ServiceState::Busy, At(0)) < 50);
  CHECK(StartItems(turns, 50, kOther, ServiceState::WithoutEngines, At(1)) ==
        50);
}

TEST_CASE("a service of weight 0 gets no items, even if it is the last one")
{
  ServiceTurns turns;
  configuration::Route route;
  route.m_services = { { kOne, 1 }, { kOther, 0 } };
  const std::vector<core::ServiceId> tried{ kOne };
  CHECK(FindServiceInTurn(turns, route, {}) == kOne);
  CHECK_FALSE(FindServiceInTurn(turns, route, tried));
}

} // namespace heatherdeal::batches
