#pragma once

#include <string_view>

#include "configuration/activeconfiguration.h"

namespace heatherdeal::configuration {

/// Name of the plug-in, which provides ActiveConfiguration and serves
/// GET /v1/configuration.
inline constexpr std::string_view kModuleName = "configuration";

/// Key of the configuration in the object API.
inline constexpr std::string_view kObjectKind = "configuration";
inline constexpr std::string_view kObjectName = "current";

} // namespace heatherdeal::configuration
