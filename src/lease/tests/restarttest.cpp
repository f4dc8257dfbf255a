#include "lease/lease.h"

#include "catch2/catch.hpp"

namespace heatherdeal::lease {

namespace {

core::Instant
AtSecond(int aSeconds)
{
  return core::Instant(std::chrono::seconds(aSeconds));
}

/// Returns the effects of a freshly started host that reads the record.
std::vector<LeaseEffect>
ApplyRecordAfterStart(const LeaseRecord& aRecord)
{
  LeaseState state;
  state.m_self = "a";
  std::vector<LeaseEffect> effects;
  Apply(state, DeadlineReached{}, AtSecond(1), effects);
  effects.clear();
  Apply(state, ReadSucceeded{ aRecord }, AtSecond(1), effects);
  return effects;
}

} // namespace

TEST_CASE(
  "a restarted host reacquires its own lease immediately with a new epoch")
{
  const std::vector<LeaseEffect> effects =
    ApplyRecordAfterStart({ 7, "a", 3, false });
  REQUIRE(effects.size() == 1);
  const auto& write = std::get<WriteRecord>(effects[0]);
  CHECK(write.m_ifVersion == 7);
  CHECK(write.m_record.m_epoch == 4);
}

TEST_CASE("a started host waits until the lease of another host expires")
{
  CHECK(ApplyRecordAfterStart({ 7, "b", 3, false }).empty());
}

TEST_CASE(
  "a follower requires the latest record only when a renewal is overdue")
{
  LeaseState state;
  state.m_self = "a";
  state.m_policy.m_duration = std::chrono::seconds(6);
  state.m_policy.m_renewInterval = std::chrono::seconds(2);
  const auto requiresLatestAt = [&state](int aSeconds) {
    std::vector<LeaseEffect> effects;
    Apply(state, DeadlineReached{}, AtSecond(aSeconds), effects);
    REQUIRE(effects.size() == 1);
    return std::get<ReadRecord>(effects[0]).m_requireLatest;
  };
  const auto applyRecordAt = [&state](const LeaseRecord& aRecord,
                                      int aSeconds) {
    std::vector<LeaseEffect> effects;
    Apply(state, ReadSucceeded{ aRecord }, AtSecond(aSeconds), effects);
    CHECK(effects.empty());
  };
  CHECK(requiresLatestAt(1));
  applyRecordAt({ 7, "b", 3, false }, 1);
  CHECK_FALSE(requiresLatestAt(2));
  // A response that is older than the known record is ignored.
  applyRecordAt({ 6, "c", 2, false }, 2);
  CHECK(HolderOf(state) == "b");
  CHECK_FALSE(requiresLatestAt(3));
  applyRecordAt({ 7, "b", 3, false }, 3);
  // The holder's renewal is overdue.
  CHECK(requiresLatestAt(4));
}

} // namespace heatherdeal::lease
