#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heatherdeal::core {

/// Returns the hosts in order of preference for the key, by rendezvous hashing.
/// All hosts with the same host list compute the same order, and removing a
/// host from the list remaps only the keys that preferred it.
std::vector<std::string>
RankHosts(std::span<const std::string> aHosts, std::string_view aKey);

} // namespace heatherdeal::core
