#pragma once

#include <string_view>

#include "configuration/active.h"

namespace heatherdeal::configuration {

/// The plug-in exports Active and serves GET /v1/configuration.
inline constexpr std::string_view kModuleName = "configuration";

/// Where the configuration stands in the object API.
inline constexpr std::string_view kObjectKind = "configuration";
inline constexpr std::string_view kObjectName = "current";

} // namespace heatherdeal::configuration
