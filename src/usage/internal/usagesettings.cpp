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
  reporting.m_windowMilliseconds = kernel::Milliseconds(aReader.MillisecondsOr(
    "window_ms", { 2500, 20'000 }, std::chrono::seconds(5)));
  reporting.m_reportWithinMilliseconds =
    kernel::Milliseconds(aReader.MillisecondsOr(
      "report_within_ms", { 5000, 50'000 }, std::chrono::seconds(10)));
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
