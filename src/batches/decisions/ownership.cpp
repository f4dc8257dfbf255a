#include "batches/ownership.h"

#include <algorithm>

#include "xxhash.h"

namespace heatherdeal::batches {

std::vector<std::string>
RankHosts(std::string_view aBatch, std::span<const std::string> aHosts)
{
  std::vector<std::string> ranked(aHosts.begin(), aHosts.end());
  std::ranges::sort(
    ranked, std::ranges::greater(), [aBatch](const std::string& aHost) {
      const uint64_t seed = XXH64(aBatch.data(), aBatch.size(), 0);
      return XXH64(aHost.data(), aHost.size(), seed);
    });
  return ranked;
}

} // namespace heatherdeal::batches
