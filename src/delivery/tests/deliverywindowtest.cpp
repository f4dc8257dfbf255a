#include "delivery/deliverywindow.h"

#include "catch2/catch.hpp"

namespace heatherdeal::delivery {

namespace {

core::Instant
At(int aSeconds)
{
  return core::Instant(std::chrono::seconds(aSeconds));
}

/// An owner under epoch 2 whose batches hold one group.
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

TEST_CASE("a lost answer is sent again with the same content")
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

TEST_CASE("the age is judged at the moment of sending")
{
  Owner owner;
  owner.Feed(GroupReady{ 0, { 5 } });
  // The trainer itself is the first to tell of version 7.
  owner.Pull(1, { 1, 0, 0, { 7 }, {} });
  CHECK(owner.Find<SendBatch>() == nullptr);
  REQUIRE(owner.Find<RegenerateGroup>() != nullptr);
  owner.Feed(GroupReady{ 0, { 6 } });
  CHECK(owner.Find<SendBatch>() != nullptr);
}

TEST_CASE("a group that the trainer may hold is not made again unasked")
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

TEST_CASE("what a pull is refused with")
{
  struct Case
  {
    const char* m_name;
    Cursor m_cursor;
    std::string_view m_kind;
  };
  const std::vector<Case> cases{
    { "a newer owner is known", { 1, 3, 3, { 5 }, { 3, {} } }, "not-owner" },
    { "overtaken", { 1, 2, 2, { 5 }, { 2, {} } }, "stale-cursor" },
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

TEST_CASE("one pull waits at a time, and not past its deadline")
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

TEST_CASE("in order, a batch waits for the lowest group")
{
  Owner owner{ InOrder{} };
  owner.Pull(1, { 1, 0, 0, { 5 }, {} });
  owner.Feed(GroupReady{ 1, { 5 } });
  CHECK(owner.Find<SendBatch>() == nullptr);
  owner.Feed(GroupReady{ 0, { 5 } });
  REQUIRE(owner.Find<SendBatch>() != nullptr);
  CHECK(owner.Find<SendBatch>()->m_batch.m_groups.front().m_ordinal == 0);
}

TEST_CASE("a held batch is sent when the hold ends")
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
