#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/failure.h"
#include "core/ids.h"
#include "core/instant.h"
#include "core/weightversion.h"

namespace heatherdeal::weights {

/// How new weights reach the engines of a service. Durations are settings.
struct WavePolicy
{
  uint32_t m_floorPercent = 50;
  uint32_t m_concurrentLoads = 2;
  core::Duration m_orderTime = std::chrono::seconds(8);
  core::Duration m_retryAfter = std::chrono::milliseconds(500);
  /// What a new holder waits before it orders engines that do not check
  /// fencing numbers: the longest order of its predecessor.
  core::Duration m_waitOut = std::chrono::seconds(8);
};

struct EngineFacts
{
  core::UpstreamId m_engine;
  bool m_checksFence = true;
  bool m_leaving = false;
};

/// An order that has not been confirmed by the engine's own version.
struct LoadOrder
{
  core::WeightVersion m_version;
  core::Instant m_deadline{};
};

struct EngineProgress
{
  EngineFacts m_facts;
  std::optional<core::WeightVersion> m_observed;
  std::optional<LoadOrder> m_order;
  core::Instant m_retryAt{};
  uint32_t m_failures = 0;
};

/// The orders of one service, given under one lease.
struct WaveState
{
  WavePolicy m_policy;
  /// 0: the lease is not held.
  uint64_t m_epoch = 0;
  core::Instant m_grantedAt{};
  core::WeightVersion m_target;
  std::map<core::UpstreamId, EngineProgress> m_engines;
  uint64_t m_orders = 0;
  /// False while no engine waits for an order.
  bool m_engineWaits = true;
};

struct TargetSeen
{
  core::WeightVersion m_version;
};

struct EnginesListed
{
  std::vector<EngineFacts> m_engines;
};

/// The engine itself has named the version that it serves.
struct VersionObserved
{
  core::UpstreamId m_engine;
  core::WeightVersion m_version;
};

struct OrderFailed
{
  core::UpstreamId m_engine;
  core::WeightVersion m_version;
  core::Failure m_failure;
};

struct LeaseBegan
{
  uint64_t m_epoch = 0;
};

struct LeaseEnded
{};

struct WaveTimer
{};

using WaveEvent = std::variant<TargetSeen,
                               EnginesListed,
                               VersionObserved,
                               OrderFailed,
                               LeaseBegan,
                               LeaseEnded,
                               WaveTimer>;

/// Tell the engine to load a version. Giving the order twice does no harm.
struct OrderLoad
{
  core::UpstreamId m_engine;
  core::WeightVersion m_version;
  uint64_t m_fence = 0;
  core::Instant m_deadline{};
};

using WaveEffect = std::variant<OrderLoad>;

void
Apply(WaveState& aState,
      const WaveEvent& aEvent,
      core::Instant aNow,
      std::vector<WaveEffect>& aEffects);

std::optional<core::Instant>
NextDeadline(const WaveState& aState);

/// Engines that may load at once without falling under the floor.
size_t
LoadsAllowed(const WaveState& aState);

/// Engines known to serve the target version.
size_t
EnginesAtTarget(const WaveState& aState);

} // namespace heatherdeal::weights
