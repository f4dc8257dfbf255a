#include "delivery/deliverywindow.h"

#include "catch2/catch.hpp"

namespace heatherdeal::delivery {

namespace {

core::Instant
AtSeconds(int aSeconds)
{
  return core::Instant(std::chrono::seconds(aSeconds));
}

/// Drives the delivery state of an owner with epoch 2 and one group per batch.
struct DeliveryHarness
{
  DeliveryState m_state;
  std::vector<DeliveryEffect> m_effects;

  explicit DeliveryHarness(DeliveryOrder aOrder = OldestFirstDelivery{})
  {
    m_state.m_policy = { 1, 1, 4, aOrder };
    m_state.m_epoch = 2;
  }

  void ApplyEvent(const DeliveryEvent& aEvent, int aSeconds = 0)
  {
    m_effects.clear();
    Apply(m_state, aEvent, AtSeconds(aSeconds), m_effects);
  }

  template<typename Effect>
  const Effect* FindEffect() const
  {
    for (const DeliveryEffect& effect : m_effects) {
      if (const auto* found = std::get_if<Effect>(&effect)) {
        return found;
      }
    }
    return nullptr;
  }

  void ApplyPull(uint64_t aPull, const Cursor& aCursor)
  {
    ApplyEvent(PullArrived{ aPull, aCursor, AtSeconds(10) });
  }
};

} // namespace

TEST_CASE("a batch whose response was lost is sent again unchanged")
{
  DeliveryHarness harness;
  harness.ApplyEvent(GroupReady{ 0, { 5 } });
  harness.ApplyEvent(GroupReady{ 1, { 5 } });
  harness.ApplyPull(1, { 1, 0, 0, { 5 }, {} });
  REQUIRE(harness.FindEffect<SendBatch>() != nullptr);
  const core::GroupOrdinal firstGroup =
    harness.FindEffect<SendBatch>()->m_batch.m_groups.front().m_ordinal;
  harness.ApplyPull(2, { 1, 0, 0, { 5 }, {} });
  REQUIRE(harness.FindEffect<SendBatch>() != nullptr);
  CHECK(harness.FindEffect<SendBatch>()->m_batch.m_groups.front().m_ordinal ==
        firstGroup);
  CHECK(harness.FindEffect<SendBatch>()->m_batch.m_number == 1);
}

TEST_CASE("staleness is checked when the batch is sent")
{
  DeliveryHarness harness;
  harness.ApplyEvent(GroupReady{ 0, { 5 } });
  // The owner first learns of version 7 from the trainer's pull.
  harness.ApplyPull(1, { 1, 0, 0, { 7 }, {} });
  CHECK(harness.FindEffect<SendBatch>() == nullptr);
  REQUIRE(harness.FindEffect<RegenerateGroup>() != nullptr);
  harness.ApplyEvent(GroupReady{ 0, { 6 } });
  CHECK(harness.FindEffect<SendBatch>() != nullptr);
}

TEST_CASE("a sent group is not regenerated before the next pull")
{
  DeliveryHarness harness;
  harness.ApplyEvent(GroupReady{ 0, { 5 } });
  harness.ApplyPull(1, { 1, 0, 0, { 5 }, {} });
  harness.ApplyEvent(NewestVersionSeen{ { 9 } });
  CHECK(harness.FindEffect<RegenerateGroup>() == nullptr);
  harness.ApplyPull(2, { 1, 1, 2, { 9 }, { 1, {} } });
  CHECK(harness.FindEffect<RegenerateGroup>() == nullptr);
  CHECK(harness.FindEffect<ReleaseGroup>() != nullptr);
}

TEST_CASE("an outdated pull or a pull to an outdated owner is refused")
{
  struct Case
  {
    const char* m_name;
    Cursor m_cursor;
    std::string_view m_failureKind;
  };
  const std::vector<Case> cases{
    { "cursor has seen a newer owner",
      { 1, 3, 3, { 5 }, { 3, {} } },
      "not-owner" },
    { "overtaken by a later pull",
      { 1, 2, 2, { 5 }, { 2, {} } },
      "stale-cursor" },
    { "earlier incarnation", { 0, 9, 2, { 5 }, { 3, {} } }, "stale-cursor" },
  };
  for (const Case& testCase : cases) {
    INFO(testCase.m_name);
    DeliveryHarness harness;
    harness.ApplyPull(1, { 1, 3, 2, { 5 }, { 3, {} } });
    harness.ApplyPull(2, testCase.m_cursor);
    const RefusePull* refusal = harness.FindEffect<RefusePull>();
    REQUIRE(refusal != nullptr);
    CHECK(core::KindOf(refusal->m_failure) == testCase.m_failureKind);
    CHECK(core::ExecutedOf(refusal->m_failure) == core::Executed::No);
  }
}

TEST_CASE(
  "a new pull supersedes the waiting one and is refused at its own deadline")
{
  DeliveryHarness harness;
  harness.ApplyPull(1, { 1, 0, 0, { 5 }, {} });
  harness.ApplyPull(2, { 1, 0, 0, { 5 }, {} });
  REQUIRE(harness.FindEffect<RefusePull>() != nullptr);
  CHECK(harness.FindEffect<RefusePull>()->m_pullId == 1);
  CHECK(NextDeadline(harness.m_state) == AtSeconds(10));
  harness.ApplyEvent(DeadlineCheck{}, 10);
  REQUIRE(harness.FindEffect<RefusePull>() != nullptr);
  CHECK(harness.FindEffect<RefusePull>()->m_pullId == 2);
  CHECK_FALSE(NextDeadline(harness.m_state).has_value());
}

TEST_CASE("with in-order delivery a batch waits for the lowest missing group")
{
  DeliveryHarness harness{ InOrderDelivery{} };
  harness.ApplyPull(1, { 1, 0, 0, { 5 }, {} });
  harness.ApplyEvent(GroupReady{ 1, { 5 } });
  CHECK(harness.FindEffect<SendBatch>() == nullptr);
  harness.ApplyEvent(GroupReady{ 0, { 5 } });
  REQUIRE(harness.FindEffect<SendBatch>() != nullptr);
  CHECK(harness.FindEffect<SendBatch>()->m_batch.m_groups.front().m_ordinal ==
        0);
}

TEST_CASE("a ready group is not sent until the hold ends")
{
  DeliveryHarness harness;
  harness.ApplyEvent(DeliveryHoldChanged{ true });
  harness.ApplyEvent(GroupReady{ 0, { 5 } });
  harness.ApplyPull(1, { 1, 0, 0, { 5 }, {} });
  CHECK(harness.FindEffect<SendBatch>() == nullptr);
  harness.ApplyEvent(DeliveryHoldChanged{ false });
  CHECK(harness.FindEffect<SendBatch>() != nullptr);
}

} // namespace heatherdeal::delivery
