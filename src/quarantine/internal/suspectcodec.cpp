#include "quarantine/internal/suspectcodec.h"

#include <sstream>

#include "protocol/binaryarchive.h"

namespace heatherdeal::quarantine {

namespace {

using protocol::InputArchive;
using protocol::LoadAge;
using protocol::LoadCount;
using protocol::LoadFlag;
using protocol::OutputArchive;
using protocol::SaveAge;
using protocol::SaveFlag;

constexpr size_t kMaxReports = 64;
// cereal begins each archive with its byte order.
constexpr size_t kArchiveHeaderBytes = 1;
constexpr size_t kCountBytes = 1;
// Of a report: fingerprint, served flag, age of the last service, crash count.
constexpr size_t kReportBytes = 8 + 1 + 4 + 1;
// Of a crash: upstream, age, disproved flag.
constexpr size_t kCrashBytes = 8 + 4 + 1;

void
Save(OutputArchive& aArchive, const SuspectReport& aReport, core::Instant aNow)
{
  aArchive(aReport.m_fingerprint.m_value);
  SaveFlag(aArchive, aReport.m_lastServedAt.has_value());
  SaveAge(aArchive, aReport.m_lastServedAt.value_or(aNow), aNow);
  aArchive(static_cast<uint8_t>(aReport.m_crashes.size()));
  for (const CrashObservation& crash : aReport.m_crashes) {
    aArchive(crash.m_upstream.m_value);
    SaveAge(aArchive, crash.m_observedAt, aNow);
    SaveFlag(aArchive, crash.m_disproved);
  }
}

SuspectReport
LoadReport(InputArchive& aArchive, core::Instant aNow)
{
  SuspectReport report;
  aArchive(report.m_fingerprint.m_value);
  const bool wasServed = LoadFlag(aArchive);
  const core::Instant servedAt = LoadAge(aArchive, aNow);
  if (wasServed) {
    report.m_lastServedAt = servedAt;
  }
  const auto count = LoadCount<uint8_t>(aArchive, kMaxCrashesPerReport);
  for (uint8_t i = 0; i < count; ++i) {
    CrashObservation crash;
    aArchive(crash.m_upstream.m_value);
    crash.m_observedAt = LoadAge(aArchive, aNow);
    crash.m_disproved = LoadFlag(aArchive);
    report.m_crashes.push_back(crash);
  }
  return report;
}

/// Returns how many of the reports fit into aMaxBytes.
size_t
CountFitting(std::span<const SuspectReport> aReports, size_t aMaxBytes)
{
  size_t bytes = kArchiveHeaderBytes + kCountBytes;
  size_t count = 0;
  for (const SuspectReport& report : aReports) {
    bytes += kReportBytes + kCrashBytes * report.m_crashes.size();
    if (bytes > aMaxBytes || count == kMaxReports) {
      break;
    }
    count += 1;
  }
  return count;
}

} // namespace

std::string
EncodeReports(std::span<const SuspectReport> aReports,
              size_t aMaxBytes,
              core::Instant aNow)
{
  const size_t count = CountFitting(aReports, aMaxBytes);
  if (count == 0) {
    return {};
  }
  std::ostringstream stream;
  OutputArchive archive(stream);
  archive(static_cast<uint8_t>(count));
  for (const SuspectReport& report : aReports.first(count)) {
    Save(archive, report, aNow);
  }
  return stream.str();
}

absl::StatusOr<std::vector<SuspectReport>>
DecodeReports(std::string_view aBytes, core::Instant aNow)
{
  return protocol::DecodeArchive(
    std::as_bytes(std::span(aBytes.data(), aBytes.size())),
    "suspect reports",
    "complete reports within their limits",
    [aNow](InputArchive& aArchive, std::istream&) {
      std::vector<SuspectReport> reports;
      const auto count = LoadCount<uint8_t>(aArchive, kMaxReports);
      for (uint8_t i = 0; i < count; ++i) {
        reports.push_back(LoadReport(aArchive, aNow));
      }
      return reports;
    });
}

} // namespace heatherdeal::quarantine
