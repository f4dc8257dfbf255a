#pragma once

#include "core/ids.h"
#include "kernel/settingsreader.h"
#include "lease/lease.h"
#include "usage/reporting.h"

namespace heatherdeal::usage {

/// Path on which the holder receives the counts of other hosts.
inline constexpr std::string_view kCountsPath = "/usage/counts";
/// Marks counts that come by way of another host.
inline constexpr std::string_view kForwardedHeader =
  "X-Heatherdeal-Usage-Forwarded";
/// Kind of the stored contents. Their names are the numbers of the windows.
inline constexpr std::string_view kContentKind = "usage-reports";

/// Settings of the plug-in.
struct UsageSettings
{
  bool m_isEnabled = false;
  /// True if this host competes for the duty; false if it counts.
  bool m_competes = false;
  core::Endpoint m_endpoint;
  lease::LeasePolicy m_lease;
  ReportingPolicy m_reporting;
};

/// Reads the section "usage".
UsageSettings
ParseUsageSettings(kernel::SettingsReader& aReader);

} // namespace heatherdeal::usage
