#pragma once

#include <string_view>

#include "quarantine/quarantine.h"

namespace heatherdeal::quarantine {

/// Name of the plug-in that exports Quarantine.
inline constexpr std::string_view kModuleName = "quarantine";

} // namespace heatherdeal::quarantine
