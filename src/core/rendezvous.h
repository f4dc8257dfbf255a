#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heatherdeal::core {

/// The hosts in the order in which they stand for a key: rendezvous hashing,
/// the same on every host that knows the same names, so that a host that goes
/// changes only the keys that it stood for.
std::vector<std::string>
RankHosts(std::span<const std::string> aHosts, std::string_view aKey);

} // namespace heatherdeal::core
