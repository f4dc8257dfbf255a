#include "weights/wave.h"

#include "catch2/catch.hpp"

namespace heatherdeal::weights {

namespace {

core::Instant
At(int aSeconds)
{
  return core::Instant(std::chrono::seconds(aSeconds));
}

struct Wave
{
  WaveState m_state;
  std::vector<WaveEffect> m_effects;

  explicit Wave(size_t aEngines, uint32_t aFloor, uint32_t aLoads)
  {
    m_state.m_policy.m_floorPercent = aFloor;
    m_state.m_policy.m_concurrentLoads = aLoads;
    EnginesListed listed;
    for (size_t i = 0; i < aEngines; ++i) {
      listed.m_engines.push_back({ Engine(i), true, false });
    }
    Feed(listed);
  }

  static core::UpstreamId Engine(size_t aIndex)
  {
    return { "engine-" + std::to_string(aIndex) };
  }

  size_t Feed(const WaveEvent& aEvent, int aSeconds = 0)
  {
    m_effects.clear();
    Apply(m_state, aEvent, At(aSeconds), m_effects);
    return m_effects.size();
  }
};

} // namespace

TEST_CASE("concurrent loads respect the minimum of engines and the load limit")
{
  struct Case
  {
    size_t m_engines;
    uint32_t m_floor;
    uint32_t m_loads;
    size_t m_expected;
  };
  const std::vector<Case> cases{
    { 10, 50, 3, 3 }, { 10, 80, 5, 2 }, { 10, 100, 5, 1 },
    { 1, 50, 5, 1 },  { 9, 50, 9, 4 },  { 3400, 90, 400, 340 },
  };
  for (const Case& c : cases) {
    Wave wave(c.m_engines, c.m_floor, c.m_loads);
    wave.Feed(LeaseBegan{ 1 });
    CHECK(wave.Feed(TargetSeen{ { 2 } }) == c.m_expected);
  }
}

TEST_CASE("an engine is at the target only after it reports the version itself")
{
  Wave wave(2, 50, 1);
  wave.Feed(LeaseBegan{ 1 });
  REQUIRE(wave.Feed(TargetSeen{ { 2 } }) == 1);
  CHECK(wave.Feed(VersionObserved{ Wave::Engine(0), { 1 } }) == 0);
  CHECK(wave.Feed(VersionObserved{ Wave::Engine(0), { 2 } }) == 1);
  CHECK(EnginesAtTarget(wave.m_state) == 1);
}

TEST_CASE("an order with an unknown outcome is retried after its deadline")
{
  Wave wave(1, 0, 1);
  wave.Feed(LeaseBegan{ 1 });
  wave.Feed(TargetSeen{ { 2 } });
  const core::Failure unknown =
    core::ConnectionFailed{ "engine", core::Executed::Unknown };
  CHECK(wave.Feed(OrderFailed{ Wave::Engine(0), { 2 }, unknown }, 1) == 0);
  CHECK(wave.Feed(WaveTimer{}, 7) == 0);
  CHECK(wave.Feed(WaveTimer{}, 8) == 0);
  CHECK(wave.Feed(WaveTimer{}, 9) == 1);
}

TEST_CASE("no orders are sent without holding the lease")
{
  Wave wave(2, 0, 2);
  CHECK(wave.Feed(TargetSeen{ { 2 } }) == 0);
  CHECK_FALSE(NextDeadline(wave.m_state).has_value());
  CHECK(wave.Feed(LeaseBegan{ 3 }) == 2);
  const core::Failure fenced = core::FenceRejected{ 3 };
  wave.Feed(OrderFailed{ Wave::Engine(0), { 2 }, fenced });
  CHECK(wave.m_state.m_epoch == 0);
  CHECK(wave.Feed(TargetSeen{ { 3 } }, 60) == 0);
}

TEST_CASE(
  "a new holder waits before ordering engines that ignore fencing tokens")
{
  Wave wave(0, 0, 2);
  EnginesListed listed;
  listed.m_engines.push_back({ Wave::Engine(0), false, false });
  wave.Feed(listed);
  wave.Feed(TargetSeen{ { 2 } });
  CHECK(wave.Feed(LeaseBegan{ 2 }, 10) == 0);
  CHECK(NextDeadline(wave.m_state) == At(18));
  CHECK(wave.Feed(WaveTimer{}, 17) == 0);
  CHECK(wave.Feed(WaveTimer{}, 18) == 1);
}

TEST_CASE("draining engines get no orders")
{
  Wave wave(0, 0, 2);
  EnginesListed listed;
  listed.m_engines.push_back({ Wave::Engine(0), true, true });
  wave.Feed(listed);
  wave.Feed(LeaseBegan{ 1 });
  CHECK(wave.Feed(TargetSeen{ { 2 } }) == 0);
}

} // namespace heatherdeal::weights
