#pragma once

#include "http/client.h"
#include "http/server.h"

namespace heatherdeal::http {

/// Name of the plug-in that exports Server and Clients. Other plug-ins may add
/// routes to the server while they start.
inline constexpr std::string_view kModuleName = "http";

} // namespace heatherdeal::http
