#include "lease/candidates.h"

#include <algorithm>
#include <tuple>

#include "xxhash.h"

namespace heatherdeal::lease {

namespace {

uint64_t
Weight(std::string_view aHost, std::string_view aLease)
{
  const uint64_t seed = XXH64(aLease.data(), aLease.size(), 0);
  return XXH64(aHost.data(), aHost.size(), seed);
}

} // namespace

std::vector<std::string>
ChooseCandidates(std::span<const std::string> aHosts,
                 std::string_view aLease,
                 size_t aCount)
{
  std::vector<std::string> hosts(aHosts.begin(), aHosts.end());
  std::ranges::sort(
    hosts, std::ranges::greater(), [aLease](const std::string& aHost) {
      return std::tuple(Weight(aHost, aLease), aHost);
    });
  hosts.resize(std::min(hosts.size(), aCount));
  return hosts;
}

} // namespace heatherdeal::lease
