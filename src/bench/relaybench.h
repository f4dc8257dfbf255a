#pragma once

#include <string>

namespace heatherdeal::bench {

/// Measures calls to an upstream made directly, through a bare relay and
/// through an entry host's forwarder, all on loopback in one process. Returns
/// one JSON object per line, or an empty string if a server cannot listen.
/// Callers, relays and upstream share one machine, so only the ratios between
/// the paths are meaningful.
std::string
RunRelayBench();

} // namespace heatherdeal::bench
