#pragma once

#include <string_view>

namespace heatherdeal::registration {

/// Enters this process into the host list. Exports nothing.
inline constexpr std::string_view kModuleName = "registration";

} // namespace heatherdeal::registration
