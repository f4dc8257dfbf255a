#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "core/ids.h"

namespace heatherdeal::discovery {

/// A host whose address may be returned to callers.
struct Candidate
{
  core::Endpoint m_endpoint;
  core::FailureDomainId m_failureDomain;
  bool m_leaving = false;
};

/// Returns up to aMaxCount addresses of hosts that are not leaving. Hosts in
/// the caller's failure domain come first. Each of the two groups is rotated by
/// aRotation, which differs for each request, so that callers are distributed
/// over the hosts.
std::vector<core::Endpoint>
ChooseAddresses(std::span<const Candidate> aCandidates,
                std::string_view aFailureDomain,
                uint64_t aRotation,
                size_t aMaxCount);

} // namespace heatherdeal::discovery
