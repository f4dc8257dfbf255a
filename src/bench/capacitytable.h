#pragma once

#include <string>
#include <string_view>

namespace heatherdeal::bench {

/// The tables of docs/CAPACITY.md, worked out from the points that
/// RunCapacityBench has written. Throws std::runtime_error if a series is
/// missing.
std::string
MakeCapacityTables(std::string_view aPoints);

} // namespace heatherdeal::bench
