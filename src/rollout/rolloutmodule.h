#pragma once

#include <string_view>

namespace heatherdeal::rollout {

/// Names the plug-in that generates the samples of the configured jobs and
/// serves the trainers' pull requests at POST /v1/pull.
inline constexpr std::string_view kModuleName = "rollout";

} // namespace heatherdeal::rollout
