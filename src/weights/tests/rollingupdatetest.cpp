#include "weights/rollingupdate.h"

#include "catch2/catch.hpp"

namespace heatherdeal::weights {

namespace {

core::Instant
AtSecond(int aSeconds)
{
  return core::Instant(std::chrono::seconds(aSeconds));
}

struct UpdateFixture
{
  RollingUpdateState m_state;
  std::vector<RollingUpdateEffect> m_effects;

  explicit UpdateFixture(size_t aEngineCount,
                         uint32_t aFloorPercent,
                         uint32_t aConcurrentLoads)
  {
    m_state.m_policy.m_floorPercent = aFloorPercent;
    m_state.m_policy.m_concurrentLoads = aConcurrentLoads;
    EngineListChanged engineList;
    for (size_t i = 0; i < aEngineCount; ++i) {
      engineList.m_engines.push_back({ EngineId(i), true, false });
    }
    ApplyAndCountOrders(engineList);
  }

  static core::UpstreamId EngineId(size_t aIndex)
  {
    return { "engine-" + std::to_string(aIndex) };
  }

  size_t ApplyAndCountOrders(const RollingUpdateEvent& aEvent, int aSeconds = 0)
  {
    m_effects.clear();
    Apply(m_state, aEvent, AtSecond(aSeconds), m_effects);
    return m_effects.size();
  }
};

} // namespace

TEST_CASE(
  "concurrent loads respect the minimum of serving engines and the load limit")
{
  struct Case
  {
    size_t m_engines;
    uint32_t m_minPercent;
    uint32_t m_loadLimit;
    size_t m_expectedOrderCount;
  };
  const std::vector<Case> cases{
    { 10, 50, 3, 3 }, { 10, 80, 5, 2 }, { 10, 100, 5, 1 },
    { 1, 50, 5, 1 },  { 9, 50, 9, 4 },  { 3400, 90, 400, 340 },
  };
  for (const Case& c : cases) {
    UpdateFixture update(c.m_engines, c.m_minPercent, c.m_loadLimit);
    update.ApplyAndCountOrders(LeaseAcquired{ 1 });
    CHECK(update.ApplyAndCountOrders(TargetAnnounced{ { 2 } }) ==
          c.m_expectedOrderCount);
  }
}

TEST_CASE("an engine is at the target only after it reports the version itself")
{
  UpdateFixture update(2, 50, 1);
  update.ApplyAndCountOrders(LeaseAcquired{ 1 });
  REQUIRE(update.ApplyAndCountOrders(TargetAnnounced{ { 2 } }) == 1);
  CHECK(update.ApplyAndCountOrders(
          VersionObserved{ UpdateFixture::EngineId(0), { 1 } }) == 0);
  CHECK(update.ApplyAndCountOrders(
          VersionObserved{ UpdateFixture::EngineId(0), { 2 } }) == 1);
  CHECK(CountEnginesAtTarget(update.m_state) == 1);
}

TEST_CASE("an order with an unknown outcome is retried after its deadline")
{
  UpdateFixture update(1, 0, 1);
  update.ApplyAndCountOrders(LeaseAcquired{ 1 });
  update.ApplyAndCountOrders(TargetAnnounced{ { 2 } });
  const core::Failure unknown =
    core::ConnectionFailed{ "engine", core::Executed::Unknown };
  CHECK(update.ApplyAndCountOrders(
          OrderFailed{ UpdateFixture::EngineId(0), { 2 }, unknown }, 1) == 0);
  CHECK(update.ApplyAndCountOrders(DeadlineReached{}, 7) == 0);
  CHECK(update.ApplyAndCountOrders(DeadlineReached{}, 8) == 0);
  CHECK(update.ApplyAndCountOrders(DeadlineReached{}, 9) == 1);
}

TEST_CASE("no orders are sent without holding the lease")
{
  UpdateFixture update(2, 0, 2);
  CHECK(update.ApplyAndCountOrders(TargetAnnounced{ { 2 } }) == 0);
  CHECK_FALSE(NextDeadline(update.m_state, AtSecond(0)).has_value());
  CHECK(update.ApplyAndCountOrders(LeaseAcquired{ 3 }) == 2);
  const core::Failure fenced = core::FenceRejected{ 3 };
  update.ApplyAndCountOrders(
    OrderFailed{ UpdateFixture::EngineId(0), { 2 }, fenced });
  CHECK(update.m_state.m_epoch == 0);
  CHECK(update.ApplyAndCountOrders(TargetAnnounced{ { 3 } }, 60) == 0);
}

TEST_CASE(
  "a new holder waits before ordering engines that ignore fencing tokens")
{
  UpdateFixture update(0, 0, 2);
  EngineListChanged engineList;
  engineList.m_engines.push_back({ UpdateFixture::EngineId(0), false, false });
  update.ApplyAndCountOrders(engineList);
  update.m_state.m_policy.m_unfencedOrderDelay = std::chrono::seconds(8);
  update.ApplyAndCountOrders(TargetAnnounced{ { 2 } });
  const LeaseAcquired acquired{ 2, AtSecond(100), AtSecond(10) };
  CHECK(update.ApplyAndCountOrders(acquired, 10) == 0);
  CHECK(NextDeadline(update.m_state, AtSecond(10)) == AtSecond(18));
  CHECK(FindOrderDelay(update.m_state, AtSecond(10)) ==
        OrderDelay::PredecessorMayAct);
  CHECK(update.ApplyAndCountOrders(DeadlineReached{}, 17) == 0);
  CHECK(update.ApplyAndCountOrders(DeadlineReached{}, 18) == 1);
}

TEST_CASE("a holder without a recent predecessor orders at once")
{
  UpdateFixture update(0, 0, 2);
  EngineListChanged engineList;
  engineList.m_engines.push_back({ UpdateFixture::EngineId(0), false, false });
  update.ApplyAndCountOrders(engineList);
  update.ApplyAndCountOrders(TargetAnnounced{ { 2 } });
  const LeaseAcquired acquired{ 2, AtSecond(100), std::nullopt };
  CHECK(update.ApplyAndCountOrders(acquired, 10) == 1);
}

TEST_CASE(
  "engines that ignore fencing tokens get no orders after the lease has "
  "expired, and get them as soon as it is extended")
{
  UpdateFixture update(0, 0, 2);
  EngineListChanged engineList;
  engineList.m_engines.push_back({ UpdateFixture::EngineId(0), false, false });
  engineList.m_engines.push_back({ UpdateFixture::EngineId(1), true, false });
  update.ApplyAndCountOrders(engineList);
  update.ApplyAndCountOrders(LeaseAcquired{ 1, AtSecond(5), std::nullopt }, 1);
  // Only the engine that checks fencing tokens is ordered.
  CHECK(update.ApplyAndCountOrders(TargetAnnounced{ { 2 } }, 6) == 1);
  update.ApplyAndCountOrders(
    VersionObserved{ UpdateFixture::EngineId(1), { 2 } }, 7);
  CHECK(FindOrderDelay(update.m_state, AtSecond(7)) ==
        OrderDelay::LeaseExpired);
  CHECK_FALSE(NextDeadline(update.m_state, AtSecond(7)).has_value());
  CHECK(update.ApplyAndCountOrders(LeaseExtended{ AtSecond(10) }, 8) == 1);
  CHECK(FindOrderDelay(update.m_state, AtSecond(8)) == OrderDelay::None);
}

TEST_CASE("draining engines get no orders")
{
  UpdateFixture update(0, 0, 2);
  EngineListChanged engineList;
  engineList.m_engines.push_back({ UpdateFixture::EngineId(0), true, true });
  update.ApplyAndCountOrders(engineList);
  update.ApplyAndCountOrders(LeaseAcquired{ 1 });
  CHECK(update.ApplyAndCountOrders(TargetAnnounced{ { 2 } }) == 0);
}

} // namespace heatherdeal::weights
