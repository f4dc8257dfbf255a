#pragma once

#include <string_view>

#include "limits/upstreamlimits.h"

namespace heatherdeal::limits {

/// Name of the plug-in that exports UpstreamLimits.
inline constexpr std::string_view kModuleName = "limits";

} // namespace heatherdeal::limits
