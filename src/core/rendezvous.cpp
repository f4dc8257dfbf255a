#include "core/rendezvous.h"

#include <algorithm>
#include <tuple>

#include "xxhash.h"

namespace heatherdeal::core {

std::vector<std::string>
RankHosts(std::span<const std::string> aHosts, std::string_view aKey)
{
  const uint64_t seed = XXH64(aKey.data(), aKey.size(), 0);
  std::vector<std::string> hosts(aHosts.begin(), aHosts.end());
  std::ranges::sort(
    hosts, std::ranges::greater(), [seed](const std::string& aHost) {
      return std::tuple(XXH64(aHost.data(), aHost.size(), seed), aHost);
    });
  return hosts;
}

} // namespace heatherdeal::core
