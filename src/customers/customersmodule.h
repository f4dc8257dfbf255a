#pragma once

#include <string_view>

namespace heatherdeal::customers {

/// Name of the plug-in that finds the customers of requests by their API keys.
inline constexpr std::string_view kModuleName = "customers";

} // namespace heatherdeal::customers
