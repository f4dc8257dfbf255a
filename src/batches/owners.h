#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heatherdeal::batches {

/// Returns how many hosts share the batches, by the number of upstreams. Each
/// owner opens connections to all engines and fills them without knowing of the
/// others, so there are few; one owner cannot serve thousands of engines.
size_t
CountActiveOwners(size_t aUpstreams);

/// Returns the hosts that may own the batch, in order of preference. The first
/// aActiveOwners hosts of a ranking that all batches share come first, so that
/// few hosts run all batches; within these, the order depends on the batch. A
/// host that fails is replaced by the next one of the ranking.
std::vector<std::string>
RankOwners(std::span<const std::string> aHosts,
           std::string_view aBatch,
           size_t aActiveOwners);

} // namespace heatherdeal::batches
