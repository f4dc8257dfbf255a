#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heatherdeal::lease {

/// Returns up to aCount hosts that compete for the lease, in order of
/// preference. Rendezvous hashing ensures that removing a host changes only
/// the leases for which it was a candidate.
std::vector<std::string>
ChooseCandidates(std::span<const std::string> aHosts,
                 std::string_view aLease,
                 size_t aCount);

} // namespace heatherdeal::lease
