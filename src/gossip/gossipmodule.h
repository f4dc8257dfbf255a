#pragma once

#include "gossip/gossip.h"

namespace heatherdeal::gossip {

/// Name of the plug-in that exports Gossip.
inline constexpr std::string_view kModuleName = "gossip";

} // namespace heatherdeal::gossip
