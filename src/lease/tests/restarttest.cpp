#include "lease/lease.h"

#include "catch2/catch.hpp"

namespace heatherdeal::lease {

namespace {

core::Instant
At(int aSeconds)
{
  return core::Instant(std::chrono::seconds(aSeconds));
}

/// What a host that has just started does when it finds the record.
std::vector<LeaseEffect>
AfterFinding(const LeaseRecord& aRecord)
{
  LeaseState state;
  state.m_self = "a";
  std::vector<LeaseEffect> effects;
  Apply(state, StepDue{}, At(1), effects);
  effects.clear();
  Apply(state, RecordSeen{ aRecord }, At(1), effects);
  return effects;
}

} // namespace

TEST_CASE(
  "a host that starts again takes its own lease at once, as a new epoch")
{
  const std::vector<LeaseEffect> effects = AfterFinding({ 7, "a", 3, false });
  REQUIRE(effects.size() == 1);
  const auto& write = std::get<WriteRecord>(effects[0]);
  CHECK(write.m_ifVersion == 7);
  CHECK(write.m_record.m_epoch == 4);
}

TEST_CASE("a host that starts waits out the lease of another")
{
  CHECK(AfterFinding({ 7, "b", 3, false }).empty());
}

} // namespace heatherdeal::lease
