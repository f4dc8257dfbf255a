#include "routing/worktime.h"

#include <algorithm>
#include <cmath>

namespace heatherdeal::routing {

namespace {

// Phases in which an upstream is slow last some 600 ms, so that an older report
// says nothing about the current phase.
constexpr core::Duration kReportLifetime = std::chrono::milliseconds(600);
// The time constant of the mean of the reports. It covers several phases, and
// does not depend on how often this host gets a report.
constexpr core::Duration kMeanReportTime = std::chrono::seconds(5);
// Reports out of these bounds are wrong. What requests take corrects a lasting
// error up to the factor that the bounds of m_unreported allow.
constexpr double kMinReported = 0.25;
constexpr double kMaxReported = 10.0;
// The ratio of one request varies as much as its cost does within its class.
constexpr uint32_t kDecaySamples = 128;
// The standard deviation of one ratio. A deviation of the mean that is smaller
// than this, divided by the root of the number of samples, may be chance, and
// must not make equal upstreams look unequal.
constexpr double kRatioNoise = 0.5;
// With one sample, half of its deviation counts.
constexpr double kPriorSamples = 1.0;
// Bounds what one request says, and what all requests say. A machine of half
// the usual speed in a slow phase takes about four times as long.
constexpr double kMaxRatio = 4.0;
constexpr double kMinUnreported = 0.25;
constexpr double kMaxUnreported = 4.0;

double
WeightByAge(core::Duration aAge, core::Duration aLifetime)
{
  const double age = static_cast<double>(aAge.count());
  return std::clamp(
    1.0 - age / static_cast<double>(aLifetime.count()), 0.0, 1.0);
}

/// Returns the mean of the ratios without what may be chance.
double
RemoveNoise(double aMean, uint32_t aSamples)
{
  const double deviation =
    (aMean - 1.0) * aSamples / (aSamples + kPriorSamples);
  const double noise = kRatioNoise / std::sqrt(aSamples + 1.0);
  return 1.0 +
         std::copysign(std::max(0.0, std::abs(deviation) - noise), deviation);
}

} // namespace

void
RecordReport(WorkTimeState& aState, double aReported, core::Instant aNow)
{
  const double reported = std::clamp(aReported, kMinReported, kMaxReported);
  if (aState.m_reported == 0.0) {
    aState.m_meanReported = reported;
  } else {
    const double elapsed =
      static_cast<double>((aNow - aState.m_reportedAt).count());
    const double share = std::clamp(
      elapsed / static_cast<double>(kMeanReportTime.count()), 0.0, 0.5);
    aState.m_meanReported += share * (reported - aState.m_meanReported);
  }
  aState.m_reported = reported;
  aState.m_reportedAt = aNow;
}

void
RecordRatio(WorkTimeState& aState, double aRatio)
{
  const double ratio = std::clamp(aRatio, 0.0, kMaxRatio);
  aState.m_samples = std::min(aState.m_samples + 1, kDecaySamples);
  aState.m_unreported += (ratio - aState.m_unreported) / aState.m_samples;
}

double
ExpectReportedWorkTime(const WorkTimeState& aState, core::Instant aNow)
{
  if (aState.m_reported == 0.0) {
    return 1.0;
  }
  const double weight =
    WeightByAge(aNow - aState.m_reportedAt, kReportLifetime);
  return weight * aState.m_reported + (1.0 - weight) * aState.m_meanReported;
}

double
ExpectWorkTime(const WorkTimeState& aState, core::Instant aNow)
{
  const double unreported =
    std::clamp(RemoveNoise(aState.m_unreported, aState.m_samples),
               kMinUnreported,
               kMaxUnreported);
  return unreported * ExpectReportedWorkTime(aState, aNow);
}

} // namespace heatherdeal::routing
