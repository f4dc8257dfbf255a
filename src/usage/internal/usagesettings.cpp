#include "usage/internal/usagesettings.h"

#include <charconv>

#include "kernel/eventlog.h"

namespace heatherdeal::usage {

namespace {

// The time for writing and sending a content after it has been decided.
constexpr int64_t kReportingMilliseconds = 3000;
// Renewals may fail twice before the holder has to stop.
constexpr int kRenewalsPerLease = 3;
constexpr int kMarginsPerLease = 6;

int64_t
ToMilliseconds(double aSeconds)
{
  constexpr double kMillisecondsPerSecond = 1000.0;
  return static_cast<int64_t>(aSeconds * kMillisecondsPerSecond);
}

core::Endpoint
ParseEndpoint(kernel::SettingsReader& aReader)
{
  const std::string text = aReader.TextOr("endpoint", "");
  const size_t colon = text.rfind(':');
  uint16_t port = 0;
  if (colon != std::string::npos) {
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  }
  if (port == 0) {
    aReader.Errors().m_errors.push_back(
      { aReader.PathOf("endpoint"), text, "ADDRESS:PORT" });
    return {};
  }
  return { text.substr(0, colon), port };
}

lease::LeasePolicy
ParseLease(kernel::SettingsReader& aReader)
{
  lease::LeasePolicy policy;
  policy.m_duration = aReader.MillisecondsOr(
    "lease_ms", { 600, 600'000 }, std::chrono::seconds(3));
  policy.m_renewInterval = policy.m_duration / kRenewalsPerLease;
  policy.m_safetyMargin = policy.m_duration / kMarginsPerLease;
  policy.m_outagePolicy = lease::StopAtExpiry{};
  return policy;
}

} // namespace

UsageSettings
ParseUsageSettings(kernel::SettingsReader& aReader)
{
  UsageSettings settings;
  ReportingPolicy& reporting = settings.m_reporting;
  settings.m_isEnabled = aReader.FlagOr("enabled", false);
  settings.m_competes = aReader.FlagOr("competes", false);
  settings.m_lease = ParseLease(aReader);
  reporting.m_lease = settings.m_lease.m_duration;
  // Contents are kept for 60 s, which has to cover a few windows.
  reporting.m_windowMilliseconds =
    ToMilliseconds(aReader.NumberOr("window_s", 2.5, 20.0, 5.0));
  reporting.m_reportWithinMilliseconds =
    ToMilliseconds(aReader.NumberOr("report_within_s", 5.0, 50.0, 10.0));
  reporting.m_decideWithinMilliseconds =
    reporting.m_reportWithinMilliseconds - kReportingMilliseconds;
  reporting.m_serviceChecksFences = aReader.FlagOr("checks_fences", false);
  if (settings.m_isEnabled && settings.m_competes) {
    settings.m_endpoint = ParseEndpoint(aReader);
  } else {
    (void)aReader.OptionalValue("endpoint");
  }
  return settings;
}

} // namespace heatherdeal::usage
