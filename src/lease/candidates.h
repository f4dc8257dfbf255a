#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heatherdeal::lease {

/// The aCount hosts that stand for a lease, best first: rendezvous hashing,
/// so that a host that goes changes only the leases that it stood for.
std::vector<std::string>
ChooseCandidates(std::span<const std::string> aHosts,
                 std::string_view aLease,
                 size_t aCount);

} // namespace heatherdeal::lease
