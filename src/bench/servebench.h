#pragma once

#include <string>

namespace heatherdeal::bench {

/// Compares the routing policies in virtual time when many entry hosts send to
/// the same upstreams. Returns one JSON object per line.
std::string
RunServeBench();

} // namespace heatherdeal::bench
