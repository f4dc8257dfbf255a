#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/instant.h"
#include "routing/workclass.h"

namespace heatherdeal::routing {

/// Decaying mean of the work of requests, in microseconds of an upstream at
/// usual speed.
struct WorkMean
{
  double m_microseconds = 0.0;
  /// Number of samples, up to the number that determines the decay.
  uint32_t m_samples = 0;
  core::Instant m_updatedAt{};
};

/// What is known of the work of a service's requests.
struct WorkEstimates
{
  std::map<WorkKey, WorkMean> m_classes;
  WorkMean m_service;
  /// Mean over the requests in flight, among which long requests are more
  /// frequent than among those that arrive.
  WorkMean m_inFlight;
};

/// The work of every request before the first sample, in microseconds. Only
/// requests that are in flight at the first sample compare it with samples.
inline constexpr double kNeutralWork = 50'000.0;

/// The expected work of a request and of those that it competes with, in
/// microseconds of an upstream at usual speed.
struct ExpectedWork
{
  double m_request = kNeutralWork;
  /// Mean of the service's requests.
  double m_mean = kNeutralWork;
  /// Mean of the service's requests in flight.
  double m_inFlightMean = kNeutralWork;
};

/// One measurement of a request that was answered completely.
struct WorkSample
{
  WorkKey m_key;
  /// Time from the send to the complete answer.
  core::Duration m_elapsed{};
  /// How long work took on the upstream, relative to the usual; 1 if unknown.
  double m_workTime = 1.0;
  /// True if the upstream had requests that waited, so that the time contains
  /// the wait.
  bool m_hasWaited = false;
};

/// Returns the expectation for a request of the class. Every request counts as
/// one unit before the first sample of the service.
ExpectedWork
Estimate(const WorkEstimates& aEstimates, WorkKey aKey);

/// Adds the sample to the estimates. Returns its work relative to the previous
/// estimate of its class; nothing if there was none or if the sample cannot be
/// used.
std::optional<double>
AddSample(WorkEstimates& aEstimates,
          const WorkSample& aSample,
          core::Instant aNow);

} // namespace heatherdeal::routing
