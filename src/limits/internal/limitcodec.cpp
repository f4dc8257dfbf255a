#include "limits/internal/limitcodec.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "protocol/binaryarchive.h"

namespace heatherdeal::limits {

namespace {

using protocol::InputArchive;
using protocol::LoadAge;
using protocol::LoadCount;
using protocol::LoadFlag;
using protocol::OutputArchive;
using protocol::SaveAge;
using protocol::SaveFlag;

// The byte order of the archive, and two counts.
constexpr size_t kHeaderBytes = 3;
// Upstream, flag, limit and age.
constexpr size_t kLimitBytes = 8 + 1 + 8 + 4;
// Host, service, rate and age.
constexpr size_t kDemandBytes = 8 + 8 + 8 + 4;

/// Thrown if a rate is negative or not finite.
struct InvalidRate : std::exception
{};

double
LoadRate(InputArchive& aArchive)
{
  double rate = 0.0;
  aArchive(rate);
  if (!std::isfinite(rate) || rate < 0.0) {
    throw InvalidRate();
  }
  return rate;
}

void
Save(OutputArchive& aArchive, const LimitReport& aReport, core::Instant aNow)
{
  const std::optional<double>& rate = aReport.m_limit.m_requestsPerSecond;
  aArchive(aReport.m_upstream.m_value);
  SaveFlag(aArchive, rate.has_value());
  aArchive(rate.value_or(0.0));
  SaveAge(aArchive, aReport.m_limit.m_answeredAt, aNow);
}

LimitReport
LoadLimit(InputArchive& aArchive, core::Instant aNow)
{
  LimitReport report;
  aArchive(report.m_upstream.m_value);
  const bool isInForce = LoadFlag(aArchive);
  const double rate = LoadRate(aArchive);
  if (isInForce) {
    report.m_limit.m_requestsPerSecond = rate;
  }
  report.m_limit.m_answeredAt = LoadAge(aArchive, aNow);
  return report;
}

void
Save(OutputArchive& aArchive, const DemandReport& aReport, core::Instant aNow)
{
  aArchive(aReport.m_key.m_host,
           aReport.m_key.m_service,
           aReport.m_demand.m_requestsPerSecond);
  SaveAge(aArchive, aReport.m_demand.m_measuredAt, aNow);
}

DemandReport
LoadDemand(InputArchive& aArchive, core::Instant aNow)
{
  DemandReport report;
  aArchive(report.m_key.m_host, report.m_key.m_service);
  report.m_demand.m_requestsPerSecond = LoadRate(aArchive);
  report.m_demand.m_measuredAt = LoadAge(aArchive, aNow);
  return report;
}

} // namespace

std::string
EncodeMessage(const LimitMessage& aMessage,
              size_t aMaxBytes,
              core::Instant aNow)
{
  if (aMessage.m_limits.empty() || aMaxBytes < kHeaderBytes + kLimitBytes) {
    return {};
  }
  const size_t room = aMaxBytes - kHeaderBytes;
  const size_t limits = std::min(aMessage.m_limits.size(), room / kLimitBytes);
  const size_t demands = std::min(aMessage.m_demands.size(),
                                  (room - limits * kLimitBytes) / kDemandBytes);
  std::ostringstream stream;
  OutputArchive archive(stream);
  archive(static_cast<uint8_t>(limits), static_cast<uint8_t>(demands));
  for (const LimitReport& report : std::span(aMessage.m_limits).first(limits)) {
    Save(archive, report, aNow);
  }
  for (const DemandReport& report :
       std::span(aMessage.m_demands).first(demands)) {
    Save(archive, report, aNow);
  }
  return stream.str();
}

absl::StatusOr<LimitMessage>
DecodeMessage(std::string_view aBytes, core::Instant aNow)
{
  return protocol::DecodeArchive(
    std::as_bytes(std::span(aBytes.data(), aBytes.size())),
    "limits",
    "a complete message within its limits",
    [aNow](InputArchive& aArchive, std::istream&) {
      LimitMessage message;
      const auto limits = LoadCount<uint8_t>(aArchive, kMaxLimitsPerMessage);
      const auto demands = LoadCount<uint8_t>(aArchive, kMaxDemandsPerMessage);
      for (uint8_t i = 0; i < limits; ++i) {
        message.m_limits.push_back(LoadLimit(aArchive, aNow));
      }
      for (uint8_t i = 0; i < demands; ++i) {
        message.m_demands.push_back(LoadDemand(aArchive, aNow));
      }
      return message;
    });
}

} // namespace heatherdeal::limits
