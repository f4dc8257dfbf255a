#pragma once

#include "objectstore/hosts.h"
#include "objectstore/objectstore.h"

namespace heatherdeal::objectstore {

/// The plug-in exports ObjectStore and Hosts.
inline constexpr std::string_view kModuleName = "objectstore";

} // namespace heatherdeal::objectstore
