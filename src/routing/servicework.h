#pragma once

#include <mutex>
#include <optional>
#include <string_view>

#include "kernel/counters.h"
#include "routing/workestimate.h"

namespace heatherdeal::routing {

/// The estimates of the work of one service's requests. Any thread.
class ServiceWork
{
public:
  /// Counts the work in counters that are named after the service. aCounters
  /// has to outlive this object.
  ServiceWork(kernel::Counters& aCounters, std::string_view aService);

  /// Returns the expectation for a request of the class.
  ExpectedWork Estimate(WorkKey aKey) const;

  /// Adds a measurement. Returns its work relative to the previous estimate of
  /// its class, if there was one and the measurement was used.
  std::optional<double> AddSample(const WorkSample& aSample,
                                  core::Instant aNow);

private:
  /// Guards m_estimates.
  mutable std::mutex m_mutex;
  WorkEstimates m_estimates;
  kernel::Counter& m_samples;
  kernel::Counter& m_unusedSamples;
  /// Totals of the usable samples with a previous estimate, in microseconds of
  /// an upstream at usual speed.
  kernel::Counter& m_expectedTotal;
  kernel::Counter& m_measuredTotal;
};

} // namespace heatherdeal::routing
