#pragma once

#include <string_view>

namespace heatherdeal::discovery {

/// Name of the plug-in that serves GET /v1/addresses?role=R&failure_domain=D.
/// On shutdown it keeps the process running until all responses that contain
/// its address have expired.
inline constexpr std::string_view kModuleName = "discovery";

} // namespace heatherdeal::discovery
