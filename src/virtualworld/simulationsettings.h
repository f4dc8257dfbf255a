#pragma once

#include <cstdint>

#include "core/instant.h"
#include "lease/lease.h"
#include "rollout/policy.h"
#include "weights/rollingupdate.h"

namespace heatherdeal::virtualworld {

/// Distribution of the lengths of generated samples: log-normal with a tail of
/// longer samples.
struct LengthDistribution
{
  double m_medianTokens = 200.0;
  double m_sigma = 0.5;
  /// One sample in m_tailInterval is longer by m_tailFactor; 0 disables these.
  uint32_t m_tailInterval = 16;
  double m_tailFactor = 10.0;
};

/// Sizes, speeds and policies of a simulated deployment.
struct SimulationSettings
{
  uint64_t m_seed = 1;
  uint32_t m_engines = 3;
  uint32_t m_slotsPerEngine = 16;
  /// The engines run this many software versions, in turn.
  uint32_t m_softwareVersions = 1;
  /// Tokens per second of a stream that is alone on its engine.
  double m_tokensPerSecond = 100.0;
  /// Number of streams on an engine at which each has half that speed.
  double m_halfSpeedStreams = 32.0;
  uint32_t m_chunkTokens = 32;
  LengthDistribution m_lengths;
  uint32_t m_hosts = 2;
  /// One-way delay of messages.
  core::Duration m_networkDelay = std::chrono::milliseconds(2);
  /// One-way delay of requests to the store and of its responses.
  core::Duration m_storeDelay = std::chrono::milliseconds(5);
  /// Interval of the engines' reports to the hosts.
  core::Duration m_reportInterval = std::chrono::milliseconds(500);
  /// Duration of a load of weights.
  core::Duration m_loadTime = std::chrono::seconds(2);
  core::Duration m_scoringDuration = std::chrono::milliseconds(200);
  /// Duration of training on one batch.
  core::Duration m_trainTime = std::chrono::seconds(10);
  /// How long the owner may hold a pull open before it refuses.
  core::Duration m_pullWait = std::chrono::seconds(20);
  /// The timeout of the trainer for a pull.
  core::Duration m_pullTimeout = std::chrono::seconds(25);
  /// The trainer publishes a new weight version after this many batches.
  uint32_t m_batchesPerVersion = 1;
  rollout::ShardPolicy m_shard;
  lease::LeasePolicy m_lease;
  weights::RollingUpdatePolicy m_rollingUpdatePolicy;
};

/// Returns the settings of a deployment that is small enough to simulate
/// minutes of it in well under a second.
inline SimulationSettings
SmallSimulationSettings()
{
  using std::chrono::seconds;
  SimulationSettings settings;
  settings.m_engines = 3;
  settings.m_slotsPerEngine = 6;
  settings.m_lengths.m_medianTokens = 80.0;
  settings.m_chunkTokens = 16;
  settings.m_trainTime = seconds(3);
  settings.m_loadTime = seconds(1);
  settings.m_pullWait = seconds(4);
  settings.m_pullTimeout = seconds(6);
  settings.m_shard.m_groupsPerBatch = 3;
  settings.m_shard.m_samplesPerGroup = 2;
  settings.m_shard.m_stalenessBound = 2;
  settings.m_shard.m_progressTimeout = seconds(4);
  settings.m_rollingUpdatePolicy.m_orderTimeout = seconds(4);
  return settings;
}

} // namespace heatherdeal::virtualworld
