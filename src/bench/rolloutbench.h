#pragma once

#include <cstdint>
#include <string>

namespace heatherdeal::bench {

/// Runs every policy and both baselines in virtual time until the trainer has
/// aBatches batches. Returns one JSON object per line.
std::string
RunRolloutBench(uint32_t aBatches);

} // namespace heatherdeal::bench
