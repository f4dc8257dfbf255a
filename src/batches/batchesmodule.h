#pragma once

#include <string_view>

#include "batches/batches.h"

namespace heatherdeal::batches {

/// The name of the plug-in; it provides Batches.
inline constexpr std::string_view kModuleName = "batches";

} // namespace heatherdeal::batches
