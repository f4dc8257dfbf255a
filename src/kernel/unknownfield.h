#pragma once

#include <string_view>

namespace heatherdeal::kernel {

/// What SettingsReader expects in place of a field that nobody requested.
inline constexpr std::string_view kNoSuchField = "no field of this name";

} // namespace heatherdeal::kernel
