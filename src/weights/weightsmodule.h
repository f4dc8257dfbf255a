#pragma once

#include <string_view>

namespace heatherdeal::weights {

/// Orders engines to load new weights, one lease for each service.
inline constexpr std::string_view kModuleName = "weights";

} // namespace heatherdeal::weights
