#include "routing/workestimate.h"

#include <algorithm>

namespace heatherdeal::routing {

namespace {

// The weight of a sample does not fall below 1/32. A mean of 32 samples of
// calls whose deviation equals their mean is wrong by a sixth.
constexpr uint32_t kDecaySamples = 32;
// A sample counts as at most this multiple of the estimate, so that one wrong
// sample moves a mean by at most (8 - 1) / 32 = 22%. The tails of calls are
// five times their mean and must not be cut, or the mean would be too low.
constexpr double kMaxSampleRatio = 8.0;
// Samples of a class that weigh as much as the mean of the service.
constexpr double kPriorSamples = 2.0;
// Bounds the memory. A service has a few routes with a few sizes each.
constexpr size_t kMaxClasses = 128;
constexpr double kMaxMicroseconds = 60e6;

void
AddToMean(WorkMean& aMean, double aMicroseconds, core::Instant aNow)
{
  aMean.m_samples = std::min(aMean.m_samples + 1, kDecaySamples);
  aMean.m_microseconds +=
    (aMicroseconds - aMean.m_microseconds) / aMean.m_samples;
  aMean.m_updatedAt = aNow;
}

/// Returns the mean of the class, drawn towards the mean of the service while
/// there are few samples.
double
EstimateClass(const WorkEstimates& aEstimates, WorkKey aKey)
{
  const double serviceMean = aEstimates.m_service.m_microseconds;
  const auto found = aEstimates.m_classes.find(aKey);
  if (found == aEstimates.m_classes.end()) {
    return serviceMean;
  }
  const WorkMean& mean = found->second;
  return (mean.m_microseconds * mean.m_samples + serviceMean * kPriorSamples) /
         (mean.m_samples + kPriorSamples);
}

void
RemoveOldestClass(WorkEstimates& aEstimates)
{
  const auto oldest =
    std::ranges::min_element(aEstimates.m_classes, {}, [](const auto& aClass) {
      return aClass.second.m_updatedAt;
    });
  aEstimates.m_classes.erase(oldest);
}

/// A sample that contains a wait is used only while there is no other, since
/// even that orders cheap and expensive classes correctly.
bool
IsUsable(const WorkEstimates& aEstimates, const WorkSample& aSample)
{
  const bool isPlausible =
    aSample.m_elapsed > core::Duration::zero() && aSample.m_workTime > 0.0;
  return isPlausible && (!aSample.m_hasWaited ||
                         !aEstimates.m_classes.contains(aSample.m_key));
}

} // namespace

ExpectedWork
Estimate(const WorkEstimates& aEstimates, WorkKey aKey)
{
  if (aEstimates.m_service.m_samples == 0) {
    return {};
  }
  return { EstimateClass(aEstimates, aKey),
           aEstimates.m_service.m_microseconds,
           aEstimates.m_inFlight.m_microseconds };
}

std::optional<double>
AddSample(WorkEstimates& aEstimates,
          const WorkSample& aSample,
          core::Instant aNow)
{
  if (!IsUsable(aEstimates, aSample)) {
    return std::nullopt;
  }
  const bool isKnown = aEstimates.m_classes.contains(aSample.m_key);
  const double previous = EstimateClass(aEstimates, aSample.m_key);
  const double bound = aEstimates.m_service.m_samples == 0
                         ? kMaxMicroseconds
                         : kMaxSampleRatio * previous;
  const double work = std::clamp(
    static_cast<double>(aSample.m_elapsed.count()) / aSample.m_workTime,
    1.0,
    std::min(bound, kMaxMicroseconds));
  if (aEstimates.m_classes.size() >= kMaxClasses && !isKnown) {
    RemoveOldestClass(aEstimates);
  }
  AddToMean(aEstimates.m_classes[aSample.m_key], work, aNow);
  AddToMean(aEstimates.m_service, work, aNow);
  // The mean over requests in flight weighs each request with its length:
  // E[work * E[work | class]] / E[work].
  const double ofClass = EstimateClass(aEstimates, aSample.m_key);
  const double weight = work / aEstimates.m_service.m_microseconds;
  AddToMean(aEstimates.m_inFlight,
            aEstimates.m_inFlight.m_microseconds +
              weight * (ofClass - aEstimates.m_inFlight.m_microseconds),
            aNow);
  return isKnown ? std::optional(work / previous) : std::nullopt;
}

} // namespace heatherdeal::routing
