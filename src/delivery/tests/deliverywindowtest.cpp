#include "delivery/deliverywindow.h"

#include "catch2/catch.hpp"

namespace heatherdeal::delivery {

namespace {

core::Instant
At(int aSeconds)
{
  return core::Instant(std::chrono::seconds(aSeconds));
}

/// Drives the delivery state of an owner with epoch 2 and one group per batch.
struct Owner
{
  DeliveryState m_state;
  std::vector<DeliveryEffect> m_effects;

  explicit Owner(DeliveryOrder aOrder = AnyOrder{})
  {
    m_state.m_policy = { 1, 1, 4, aOrder };
    m_state.m_epoch = 2;
  }

  void Feed(const DeliveryEvent& aEvent, int aSeconds = 0)
  {
    m_effects.clear();
    Apply(m_state, aEvent, At(aSeconds), m_effects);
  }

  template<typename Effect>
  const Effect* Find() const
  {
    for (const DeliveryEffect& effect : m_effects) {
      if (const auto* found = std::get_if<Effect>(&effect)) {
        return found;
      }
    }
    return nullptr;
  }

  void Pull(uint64_t aPull, const Cursor& aCursor)
  {
    Feed(PullArrived{ aPull, aCursor, At(10) });
  }
};

} // namespace

TEST_CASE("a batch whose response was lost is sent again unchanged")
{
  Owner owner;
  owner.Feed(GroupReady{ 0, { 5 } });
  owner.Feed(GroupReady{ 1, { 5 } });
  owner.Pull(1, { 1, 0, 0, { 5 }, {} });
  REQUIRE(owner.Find<SendBatch>() != nullptr);
  const core::GroupOrdinal first =
    owner.Find<SendBatch>()->m_batch.m_groups.front().m_ordinal;
  owner.Pull(2, { 1, 0, 0, { 5 }, {} });
  REQUIRE(owner.Find<SendBatch>() != nullptr);
  CHECK(owner.Find<SendBatch>()->m_batch.m_groups.front().m_ordinal == first);
  CHECK(owner.Find<SendBatch>()->m_batch.m_number == 1);
}

TEST_CASE("staleness is checked when the batch is sent")
{
  Owner owner;
  owner.Feed(GroupReady{ 0, { 5 } });
  // The owner first learns of version 7 from the trainer's pull.
  owner.Pull(1, { 1, 0, 0, { 7 }, {} });
  CHECK(owner.Find<SendBatch>() == nullptr);
  REQUIRE(owner.Find<RegenerateGroup>() != nullptr);
  owner.Feed(GroupReady{ 0, { 6 } });
  CHECK(owner.Find<SendBatch>() != nullptr);
}

TEST_CASE("a sent group is not regenerated before the next pull")
{
  Owner owner;
  owner.Feed(GroupReady{ 0, { 5 } });
  owner.Pull(1, { 1, 0, 0, { 5 }, {} });
  owner.Feed(NewestVersionSeen{ { 9 } });
  CHECK(owner.Find<RegenerateGroup>() == nullptr);
  owner.Pull(2, { 1, 1, 2, { 9 }, { 1, {} } });
  CHECK(owner.Find<RegenerateGroup>() == nullptr);
  CHECK(owner.Find<ReleaseGroup>() != nullptr);
}

TEST_CASE("an outdated pull or a pull to an outdated owner is refused")
{
  struct Case
  {
    const char* m_name;
    Cursor m_cursor;
    std::string_view m_kind;
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
  for (const Case& c : cases) {
    INFO(c.m_name);
    Owner owner;
    owner.Pull(1, { 1, 3, 2, { 5 }, { 3, {} } });
    owner.Pull(2, c.m_cursor);
    const RefusePull* refusal = owner.Find<RefusePull>();
    REQUIRE(refusal != nullptr);
    CHECK(core::KindOf(refusal->m_failure) == c.m_kind);
    CHECK(core::ExecutedOf(refusal->m_failure) == core::Executed::No);
  }
}

TEST_CASE(
  "a new pull supersedes the waiting one, which is refused at its deadline")
{
  Owner owner;
  owner.Pull(1, { 1, 0, 0, { 5 }, {} });
  owner.Pull(2, { 1, 0, 0, { 5 }, {} });
  REQUIRE(owner.Find<RefusePull>() != nullptr);
  CHECK(owner.Find<RefusePull>()->m_pull == 1);
  CHECK(NextDeadline(owner.m_state) == At(10));
  owner.Feed(DeadlineCheck{}, 10);
  REQUIRE(owner.Find<RefusePull>() != nullptr);
  CHECK(owner.Find<RefusePull>()->m_pull == 2);
  CHECK_FALSE(NextDeadline(owner.m_state).has_value());
}

TEST_CASE("with in-order delivery a batch waits for the lowest missing group")
{
  Owner owner{ InOrder{} };
  owner.Pull(1, { 1, 0, 0, { 5 }, {} });
  owner.Feed(GroupReady{ 1, { 5 } });
  CHECK(owner.Find<SendBatch>() == nullptr);
  owner.Feed(GroupReady{ 0, { 5 } });
  REQUIRE(owner.Find<SendBatch>() != nullptr);
  CHECK(owner.Find<SendBatch>()->m_batch.m_groups.front().m_ordinal == 0);
}

TEST_CASE("a ready group is not sent until the hold ends")
{
  Owner owner;
  owner.Feed(HoldChanged{ true });
  owner.Feed(GroupReady{ 0, { 5 } });
  owner.Pull(1, { 1, 0, 0, { 5 }, {} });
  CHECK(owner.Find<SendBatch>() == nullptr);
  owner.Feed(HoldChanged{ false });
  CHECK(owner.Find<SendBatch>() != nullptr);
}

} // namespace heatherdeal::delivery
