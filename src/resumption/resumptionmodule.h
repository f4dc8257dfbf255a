#pragma once

#include <string_view>

namespace heatherdeal::resumption {

/// Name of the plug-in that provides StreamOrigins.
inline constexpr std::string_view kModuleName = "resumption";

} // namespace heatherdeal::resumption
