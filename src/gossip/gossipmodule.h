#pragma once

#include "gossip/gossip.h"

namespace heatherdeal::gossip {

/// The plug-in exports Gossip.
inline constexpr std::string_view kModuleName = "gossip";

} // namespace heatherdeal::gossip
