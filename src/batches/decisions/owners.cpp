#include "batches/owners.h"

#include <algorithm>

#include "core/rendezvous.h"

namespace heatherdeal::batches {

namespace {

// All hosts must rank the active owners by the same key.
constexpr std::string_view kActiveOwnersKey = "active batch owners";
constexpr size_t kMinActiveOwners = 2;
constexpr size_t kUpstreamsPerOwner = 100;

} // namespace

size_t
CountActiveOwners(size_t aUpstreams)
{
  const size_t needed =
    (aUpstreams + kUpstreamsPerOwner - 1) / kUpstreamsPerOwner;
  return std::max(kMinActiveOwners, needed);
}

std::vector<std::string>
RankOwners(std::span<const std::string> aHosts,
           std::string_view aBatch,
           size_t aActiveOwners)
{
  const std::vector<std::string> ranking =
    core::RankHosts(aHosts, kActiveOwnersKey);
  const size_t activeCount = std::min(aActiveOwners, ranking.size());
  const std::span<const std::string> hosts(ranking);
  std::vector<std::string> owners =
    core::RankHosts(hosts.first(activeCount), aBatch);
  const std::span<const std::string> standby = hosts.subspan(activeCount);
  owners.insert(owners.end(), standby.begin(), standby.end());
  return owners;
}

} // namespace heatherdeal::batches
