#pragma once

#include "reports/reports.h"

namespace heatherdeal::reports {

/// Name of the plug-in that provides EngineReports and updates its set of
/// engines whenever the hosts or the active configuration change.
inline constexpr std::string_view kModuleName = "reports";

} // namespace heatherdeal::reports
