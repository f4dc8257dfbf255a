#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heatherdeal::batches {

/// The hosts in the order in which they should own a batch; the same on every
/// host that knows the same names.
std::vector<std::string>
RankHosts(std::string_view aBatch, std::span<const std::string> aHosts);

} // namespace heatherdeal::batches
