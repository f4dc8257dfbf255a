#pragma once

#include <string_view>

namespace heatherdeal::rollout {

/// Generates the samples of the configured jobs and serves trainers' pulls
/// at POST /v1/pull.
inline constexpr std::string_view kModuleName = "rollout";

} // namespace heatherdeal::rollout
