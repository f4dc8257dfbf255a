#pragma once

#include <string_view>

namespace heatherdeal::forwarding {

/// Serves /apps/SERVICE/... by the upstreams of the service.
inline constexpr std::string_view kModuleName = "forwarding";

} // namespace heatherdeal::forwarding
