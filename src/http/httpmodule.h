#pragma once

#include "http/client.h"
#include "http/server.h"

namespace heatherdeal::http {

/// The plug-in exports Server and Clients; routes may be added until every
/// plug-in has started.
inline constexpr std::string_view kModuleName = "http";

} // namespace heatherdeal::http
