// Pattern: many rollout hosts and few engine slots. If every host owns batches,
// the owners fill the engines without knowing of each other, engines refuse
// items, and each owner opens its own connections to every engine.

#include <set>

#include "catch2/catch.hpp"

#include "batches/owners.h"

namespace heatherdeal::batches {

namespace {

constexpr size_t kActiveOwners = 2;

std::vector<std::string>
MakeHosts(size_t aCount)
{
  std::vector<std::string> hosts;
  for (size_t i = 0; i < aCount; ++i) {
    hosts.push_back("host-" + std::to_string(i));
  }
  return hosts;
}

std::string
OwnerOf(const std::vector<std::string>& aHosts, int aBatch)
{
  return RankOwners(aHosts, "batch-" + std::to_string(aBatch), kActiveOwners)
    .front();
}

} // namespace

TEST_CASE("all batches of many hosts share few owners")
{
  for (const size_t hostCount : { size_t{ 1 }, size_t{ 2 }, size_t{ 12 } }) {
    std::set<std::string> owners;
    for (int batch = 0; batch < 200; ++batch) {
      owners.insert(OwnerOf(MakeHosts(hostCount), batch));
    }
    CHECK(owners.size() == std::min(kActiveOwners, hostCount));
  }
}

TEST_CASE(
  "after the failure of a host, batches move only to the host that takes "
  "its place")
{
  const std::vector<std::string> hosts = MakeHosts(12);
  const std::string failed = OwnerOf(hosts, 0);
  std::vector<std::string> remaining = hosts;
  std::erase(remaining, failed);
  std::set<std::string> ownersBefore;
  std::set<std::string> newOwners;
  for (int batch = 0; batch < 200; ++batch) {
    const std::string before = OwnerOf(hosts, batch);
    const std::string after = OwnerOf(remaining, batch);
    ownersBefore.insert(before);
    CHECK(after != failed);
    if (before != failed && after != before) {
      newOwners.insert(after);
    }
  }
  CHECK(newOwners.size() <= 1);
  for (const std::string& owner : newOwners) {
    CHECK_FALSE(ownersBefore.contains(owner));
  }
}

TEST_CASE("every host is ranked once, so that each can take a batch over")
{
  const std::vector<std::string> hosts = MakeHosts(12);
  const std::vector<std::string> ranked =
    RankOwners(hosts, "batch", kActiveOwners);
  CHECK(std::set<std::string>(ranked.begin(), ranked.end()).size() == 12);
}

// Pattern: thousands of engines. Two owners cannot drive them all.
TEST_CASE("the number of owners grows with the number of upstreams")
{
  CHECK(CountActiveOwners(0) == 2);
  CHECK(CountActiveOwners(49) == 2);
  CHECK(CountActiveOwners(200) == 2);
  CHECK(CountActiveOwners(201) == 3);
  CHECK(CountActiveOwners(3400) == 34);
}

TEST_CASE("without hosts there is no owner")
{
  CHECK(RankOwners({}, "batch", kActiveOwners).empty());
}

} // namespace heatherdeal::batches
