#include "lease/candidates.h"

#include "core/rendezvous.h"

namespace heatherdeal::lease {

std::vector<std::string>
ChooseCandidates(std::span<const std::string> aHosts,
                 std::string_view aLease,
                 size_t aCount)
{
  std::vector<std::string> hosts = core::RankHosts(aHosts, aLease);
  hosts.resize(std::min(hosts.size(), aCount));
  return hosts;
}

} // namespace heatherdeal::lease
