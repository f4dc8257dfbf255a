#pragma once

#include <string>

namespace heatherdeal::bench {

/// Measures state, messages and processor time of each duty at several sizes
/// and returns the points and the fitted slopes as JSON.
std::string
RunCapacityBench();

} // namespace heatherdeal::bench
