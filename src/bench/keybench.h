#pragma once

#include <string>

namespace heatherdeal::bench {

/// Measures how long it takes to find the customer of a request by its API key,
/// at several numbers of customers, for known and unknown keys. Returns one
/// JSON object per line; times are nanoseconds of processor time per look-up.
std::string
RunKeyBench();

} // namespace heatherdeal::bench
