#pragma once

#include <string_view>

#include "batches/batches.h"

namespace heatherdeal::batches {

/// The plug-in exports Batches.
inline constexpr std::string_view kModuleName = "batches";

} // namespace heatherdeal::batches
