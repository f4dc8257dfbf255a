#pragma once

#include "objectstore/hosts.h"
#include "objectstore/objectstore.h"

namespace heatherdeal::objectstore {

/// Name of the plug-in, which provides ObjectStore and Hosts.
inline constexpr std::string_view kModuleName = "objectstore";

} // namespace heatherdeal::objectstore
