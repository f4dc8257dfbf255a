#pragma once

#include <string_view>

#include "relay/relay.h"

namespace heatherdeal::relay {

/// Names the plug-in that provides Relay.
inline constexpr std::string_view kModuleName = "relay";

} // namespace heatherdeal::relay
