#pragma once

#include <string_view>

namespace heatherdeal::weights {

/// Kind of the objects that name the newest version of each set of weights.
inline constexpr std::string_view kObjectKind = "weights";

} // namespace heatherdeal::weights
