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

/// Limits and timing of the rolling update of a service's engines to new
/// weights.
struct RollingUpdatePolicy
{
  /// Minimum percentage of the engines that serve while others load.
  uint32_t m_floorPercent = 50;
  /// Maximum number of engines that load at the same time; limits the load on
  /// the weight store.
  uint32_t m_concurrentLoads = 2;
  /// Time after which an order without effect counts as failed.
  core::Duration m_orderTimeout = std::chrono::seconds(8);
  /// Delay before a failed order is retried.
  core::Duration m_retryDelay = std::chrono::milliseconds(500);
  /// Minimum time between the last order of the previous lease holder and the
  /// first order of the new one, for engines that do not check fencing tokens.
  core::Duration m_unfencedOrderDelay = std::chrono::seconds(6);
};

/// Properties of an engine from the host list.
struct EngineFacts
{
  core::UpstreamId m_engine;
  /// True if the engine refuses orders with an outdated fencing token.
  bool m_checksFencingToken = true;
  bool m_leaving = false;
};

/// An order whose version the engine has not reported yet.
struct PendingOrder
{
  core::WeightVersion m_version;
  core::Instant m_deadline{};
};

/// The progress of one engine towards the target version.
struct EngineProgress
{
  EngineFacts m_facts;
  std::optional<core::WeightVersion> m_observedVersion;
  std::optional<PendingOrder> m_pendingOrder;
  /// Earliest time of the next order, after an order has failed.
  core::Instant m_retryAt{};
  uint32_t m_consecutiveFailures = 0;
};

/// The rolling update of the engines of one service to one weight set.
struct RollingUpdateState
{
  RollingUpdatePolicy m_policy;
  /// Epoch of the lease, or 0 if this host does not hold it.
  uint64_t m_epoch = 0;
  /// When the lease expires unless it is extended.
  core::Instant m_actUntil{};
  /// The latest time at which the previous holder may have sent an order; empty
  /// if no recent holder has to be considered.
  std::optional<core::Instant> m_predecessorActedUntil;
  core::WeightVersion m_targetVersion;
  std::map<core::UpstreamId, EngineProgress> m_engines;
  /// Number of orders sent.
  uint64_t m_sentOrderCount = 0;
  /// False if no engine is waiting for an order.
  bool m_hasWaitingEngine = true;
};

/// A version of the weights was announced. Versions older than the current
/// target have no effect.
struct TargetAnnounced
{
  core::WeightVersion m_version;
};

/// The complete list of the engines has changed.
struct EngineListChanged
{
  std::vector<EngineFacts> m_engines;
};

/// The engine itself reported the version that it serves.
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

struct LeaseAcquired
{
  uint64_t m_epoch = 0;
  core::Instant m_actUntil = core::Instant::max();
  std::optional<core::Instant> m_predecessorActedUntil;
};

struct LeaseExtended
{
  core::Instant m_actUntil{};
};

struct LeaseLost
{};

struct DeadlineReached
{};

using RollingUpdateEvent = std::variant<TargetAnnounced,
                                        EngineListChanged,
                                        VersionObserved,
                                        OrderFailed,
                                        LeaseAcquired,
                                        LeaseExtended,
                                        LeaseLost,
                                        DeadlineReached>;

/// Requests that the engine load a version. Orders are idempotent.
struct LoadOrder
{
  core::UpstreamId m_engine;
  core::WeightVersion m_version;
  /// Fencing token of the order: the epoch of the sender's lease.
  uint64_t m_fence = 0;
  core::Instant m_deadline{};
};

using RollingUpdateEffect = std::variant<LoadOrder>;

/// Applies the event to the state and appends the orders that the caller has to
/// send.
void
Apply(RollingUpdateState& aState,
      const RollingUpdateEvent& aEvent,
      core::Instant aNow,
      std::vector<RollingUpdateEffect>& aEffects);

/// Returns when the next DeadlineReached has to be applied, or nothing if none
/// is needed.
std::optional<core::Instant>
NextDeadline(const RollingUpdateState& aState, core::Instant aNow);

/// Why no order is sent although engines serve older versions than the target.
enum class OrderDelay
{
  /// Orders are being sent, or none are needed.
  None,
  /// Another host may hold the lease.
  NoLease,
  /// Orders of the previous holder may still be in flight.
  PredecessorMayAct,
  /// The lease has expired and could not be extended.
  LeaseExpired,
  /// The last orders have failed, and their retry is not due yet.
  AwaitingRetry,
};

/// Returns why no order is pending now.
OrderDelay
FindOrderDelay(const RollingUpdateState& aState, core::Instant aNow);

/// Returns how many engines may load at the same time.
size_t
MaxConcurrentLoads(const RollingUpdateState& aState);

/// Returns the number of engines known to serve the target version or a newer
/// one.
size_t
CountEnginesAtTarget(const RollingUpdateState& aState);

} // namespace heatherdeal::weights
