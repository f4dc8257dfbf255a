#pragma once

#include <string_view>

#include "usage/usagecounter.h"

namespace heatherdeal::usage {

/// Name of the plug-in. It exports UsageCounter on hosts that count.
inline constexpr std::string_view kModuleName = "usage";

} // namespace heatherdeal::usage
