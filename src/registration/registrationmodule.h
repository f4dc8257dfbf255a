#pragma once

#include <string_view>

namespace heatherdeal::registration {

/// Name of the plug-in that writes the entry of this process to the host list.
/// The plug-in exports no interface.
inline constexpr std::string_view kModuleName = "registration";

} // namespace heatherdeal::registration
