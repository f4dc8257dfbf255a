#pragma once

#include <string_view>

namespace heatherdeal::forwarding {

/// Name of the plug-in that forwards requests for /apps/SERVICE/... to the
/// upstreams of the service.
inline constexpr std::string_view kModuleName = "forwarding";

} // namespace heatherdeal::forwarding
