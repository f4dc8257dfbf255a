#pragma once

#include <string>

namespace heatherdeal::bench {

/// Compares routing policies under a herd of entry hosts on virtual time and
/// returns one JSON object a line.
std::string
RunServeBench();

} // namespace heatherdeal::bench
