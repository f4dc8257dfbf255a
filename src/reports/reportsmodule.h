#pragma once

#include "reports/reports.h"

namespace heatherdeal::reports {

/// The plug-in exports Reports and keeps it supplied with the engines of
/// the configured services.
inline constexpr std::string_view kModuleName = "reports";

} // namespace heatherdeal::reports
