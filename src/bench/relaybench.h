#pragma once

#include <string>

namespace heatherdeal::bench {

/// Calls a stand-in directly, through a bare relay and through an entry
/// host's forwarder, on loopback in one process, and returns one JSON object a
/// line. All three share the machine, so that only ratios mean something.
std::string
RunRelayBench();

} // namespace heatherdeal::bench
