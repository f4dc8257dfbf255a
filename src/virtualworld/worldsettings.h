#pragma once

#include <cstdint>

#include "core/instant.h"
#include "lease/lease.h"
#include "rollout/policy.h"
#include "weights/rollingupdate.h"

namespace heatherdeal::virtualworld {

/// Lengths of generated samples.
struct Lengths
{
  double m_medianTokens = 200.0;
  double m_sigma = 0.5;
  /// One sample in so many is longer by the factor; 0: none.
  uint32_t m_tailEvery = 16;
  double m_tailFactor = 10.0;
};

/// Sizes, speeds and policies of a virtual deployment.
struct WorldSettings
{
  uint64_t m_seed = 1;
  uint32_t m_engines = 3;
  uint32_t m_slotsPerEngine = 16;
  /// Tokens a second of a stream that is alone on its engine.
  double m_tokensPerSecond = 100.0;
  /// Streams at which each runs at half that speed.
  double m_halfSpeedStreams = 32.0;
  uint32_t m_chunkTokens = 32;
  Lengths m_lengths;
  uint32_t m_hosts = 2;
  core::Duration m_networkDelay = std::chrono::milliseconds(2);
  core::Duration m_storeDelay = std::chrono::milliseconds(5);
  core::Duration m_reportEvery = std::chrono::milliseconds(500);
  core::Duration m_loadTime = std::chrono::seconds(2);
  core::Duration m_scoringTime = std::chrono::milliseconds(200);
  core::Duration m_trainTime = std::chrono::seconds(10);
  core::Duration m_pullWait = std::chrono::seconds(20);
  /// The trainer's own limit on a pull.
  core::Duration m_pullTime = std::chrono::seconds(25);
  uint32_t m_batchesPerVersion = 1;
  rollout::ShardPolicy m_shard;
  lease::LeasePolicy m_lease;
  weights::RollingUpdatePolicy m_wave;
};

/// A deployment so small that a minute of it runs in a moment.
inline WorldSettings
SmallWorld()
{
  using std::chrono::seconds;
  WorldSettings settings;
  settings.m_engines = 3;
  settings.m_slotsPerEngine = 6;
  settings.m_lengths.m_medianTokens = 80.0;
  settings.m_chunkTokens = 16;
  settings.m_trainTime = seconds(3);
  settings.m_loadTime = seconds(1);
  settings.m_pullWait = seconds(4);
  settings.m_pullTime = seconds(6);
  settings.m_shard.m_groupsPerBatch = 3;
  settings.m_shard.m_samplesPerGroup = 2;
  settings.m_shard.m_stalenessBound = 2;
  settings.m_shard.m_progressTimeout = seconds(4);
  settings.m_wave.m_orderTimeout = seconds(4);
  return settings;
}

} // namespace heatherdeal::virtualworld
