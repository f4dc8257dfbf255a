#pragma once

#include <cstdint>
#include <string>

namespace heatherdeal::bench {

/// Runs every policy and both baselines in virtual time, each until the trainer
/// has aBatches batches or 24 hours have passed. Returns one JSON object per
/// line.
std::string
RunRolloutBench(uint32_t aBatches);

} // namespace heatherdeal::bench
