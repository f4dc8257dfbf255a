#include "discovery/addresses.h"

#include <algorithm>

namespace heatherdeal::discovery {

namespace {

/// Appends the endpoints, rotated left by aRotation positions.
void
AppendRotated(std::vector<core::Endpoint>& aRotated,
              std::span<const Candidate* const> aCandidates,
              uint64_t aRotation)
{
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const size_t index = (aRotation + i) % aCandidates.size();
    aRotated.push_back(aCandidates[index]->m_endpoint);
  }
}

} // namespace

std::vector<core::Endpoint>
ChooseAddresses(std::span<const Candidate> aCandidates,
                std::string_view aFailureDomain,
                uint64_t aRotation,
                size_t aMaxCount)
{
  std::vector<const Candidate*> local;
  std::vector<const Candidate*> remote;
  for (const Candidate& candidate : aCandidates) {
    if (candidate.m_leaving) {
      continue;
    }
    const bool isLocal = candidate.m_failureDomain.m_value == aFailureDomain;
    (isLocal ? local : remote).push_back(&candidate);
  }
  std::vector<core::Endpoint> endpoints;
  AppendRotated(endpoints, local, aRotation);
  AppendRotated(endpoints, remote, aRotation);
  endpoints.resize(std::min(endpoints.size(), aMaxCount));
  return endpoints;
}

} // namespace heatherdeal::discovery
