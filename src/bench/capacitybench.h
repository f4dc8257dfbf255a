#pragma once

#include <string>

namespace heatherdeal::bench {

/// Measures the messages, bytes and processor time of each duty at several
/// sizes. Returns one JSON object per line: a series with its points and the
/// line fitted through them.
std::string
RunCapacityBench();

} // namespace heatherdeal::bench
