#pragma once

#include <string>
#include <string_view>

namespace heatherdeal::bench {

/// Returns the tables of docs/CAPACITY.md, computed from the JSON lines that
/// RunCapacityBench returns. Throws std::runtime_error if a series is missing.
std::string
MakeCapacityTables(std::string_view aSeriesLines);

} // namespace heatherdeal::bench
