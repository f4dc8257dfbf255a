#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "core/ids.h"

namespace heatherdeal::discovery {

/// A host that callers may be sent to.
struct Candidate
{
  core::Endpoint m_endpoint;
  core::FailureDomainId m_failureDomain;
  bool m_leaving = false;
};

/// Up to aCount addresses, the caller's failure domain first and never a
/// leaving host. aTicket differs from call to call, so that callers spread.
std::vector<core::Endpoint>
ChooseAddresses(std::span<const Candidate> aCandidates,
                std::string_view aFailureDomain,
                uint64_t aTicket,
                size_t aCount);

} // namespace heatherdeal::discovery
