#pragma once

#include <string_view>

namespace heatherdeal::discovery {

/// Serves GET /v1/addresses?role=R&failure_domain=D. On shutdown it holds
/// the process until the longest answer given has lapsed.
inline constexpr std::string_view kModuleName = "discovery";

} // namespace heatherdeal::discovery
