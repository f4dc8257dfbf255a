#pragma once

#include "routing/pool.h"

namespace heatherdeal::routing {

/// The plug-in provides Router.
inline constexpr std::string_view kModuleName = "routing";

} // namespace heatherdeal::routing
