#pragma once

#include <string_view>

namespace heatherdeal::weights {

/// The plug-in orders engines to load new weights. It uses one lease for each
/// service.
inline constexpr std::string_view kModuleName = "weights";

} // namespace heatherdeal::weights
