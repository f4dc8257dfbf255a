#pragma once

#include "routing/pool.h"

namespace heatherdeal::routing {

/// Names the plug-in that provides Router.
inline constexpr std::string_view kModuleName = "routing";

} // namespace heatherdeal::routing
