#pragma once

#include <cstdint>
#include <string>

namespace heatherdeal::bench {

/// Runs every policy and both baselines on virtual time and returns one JSON
/// object a line.
std::string
RunRolloutBench(uint32_t aBatches);

} // namespace heatherdeal::bench
