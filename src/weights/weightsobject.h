#pragma once

#include <string_view>

namespace heatherdeal::weights {

/// Kind of the objects that hold the newest version of each weight set.
inline constexpr std::string_view kObjectKind = "weights";

} // namespace heatherdeal::weights
