#pragma once

#include "platform/hosts.h"
#include "platform/objectstore.h"

namespace heatherdeal::platform {

/// The plug-in exports ObjectStore and Hosts.
inline constexpr std::string_view kModuleName = "platform";

} // namespace heatherdeal::platform
