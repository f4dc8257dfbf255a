#include "lease/candidates.h"

#include <algorithm>
#include <map>

#include "catch2/catch.hpp"

namespace heatherdeal::lease {

namespace {

std::vector<std::string>
MakeHosts(size_t aCount)
{
  std::vector<std::string> hosts;
  for (size_t i = 0; i < aCount; ++i) {
    hosts.push_back("host-" + std::to_string(i));
  }
  return hosts;
}

} // namespace

TEST_CASE("candidates do not depend on the order of the host list")
{
  auto hosts = MakeHosts(20);
  const auto candidates = ChooseCandidates(hosts, "shard-7", 2);
  std::ranges::reverse(hosts);
  CHECK(ChooseCandidates(hosts, "shard-7", 2) == candidates);
  CHECK(candidates.size() == 2);
  CHECK(ChooseCandidates({}, "shard-7", 2).empty());
}

TEST_CASE(
  "removing a host changes only its own leases, and leases are spread evenly")
{
  const auto allHosts = MakeHosts(20);
  const auto remainingHosts = MakeHosts(19);
  std::map<std::string, int> leaseCounts;
  for (int lease = 0; lease < 1000; ++lease) {
    const std::string name = "shard-" + std::to_string(lease);
    const auto before = ChooseCandidates(allHosts, name, 2);
    const auto after = ChooseCandidates(remainingHosts, name, 2);
    leaseCounts[before.front()] += 1;
    if (std::ranges::find(before, "host-19") == before.end()) {
      CHECK(before == after);
    }
  }
  for (const auto& [host, count] : leaseCounts) {
    CHECK(count > 20);
    CHECK(count < 90);
  }
}

} // namespace heatherdeal::lease
