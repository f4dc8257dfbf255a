#pragma once

#include <string_view>

#include "configuration/activeconfiguration.h"

namespace heatherdeal::configuration {

/// Name of the plug-in, which provides ActiveConfiguration and serves
/// GET /v1/configuration.
inline constexpr std::string_view kModuleName = "configuration";

/// Target of the request by which a host reads the document of another one,
/// with the keys of customers. Without the parameter they are left out.
inline constexpr std::string_view kKeysParameter = "keys";
inline constexpr std::string_view kDocumentForHostsTarget =
  "/v1/configuration?keys=1";

/// Key of the configuration in the object API.
inline constexpr std::string_view kObjectKind = "configuration";
inline constexpr std::string_view kObjectName = "current";

} // namespace heatherdeal::configuration
