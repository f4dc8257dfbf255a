#include "discovery/addresses.h"

#include <algorithm>

namespace heatherdeal::discovery {

namespace {

/// Appends the endpoints, rotated left by aTicket positions.
void
AppendRotated(std::vector<core::Endpoint>& aOut,
              std::span<const Candidate* const> aCandidates,
              uint64_t aTicket)
{
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const size_t index = (aTicket + i) % aCandidates.size();
    aOut.push_back(aCandidates[index]->m_endpoint);
  }
}

} // namespace

std::vector<core::Endpoint>
ChooseAddresses(std::span<const Candidate> aCandidates,
                std::string_view aFailureDomain,
                uint64_t aTicket,
                size_t aCount)
{
  std::vector<const Candidate*> near;
  std::vector<const Candidate*> far;
  for (const Candidate& candidate : aCandidates) {
    if (candidate.m_leaving) {
      continue;
    }
    const bool isNear = candidate.m_failureDomain.m_value == aFailureDomain;
    (isNear ? near : far).push_back(&candidate);
  }
  std::vector<core::Endpoint> endpoints;
  AppendRotated(endpoints, near, aTicket);
  AppendRotated(endpoints, far, aTicket);
  endpoints.resize(std::min(endpoints.size(), aCount));
  return endpoints;
}

} // namespace heatherdeal::discovery
