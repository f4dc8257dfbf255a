#include "weights/rollingupdate.h"

#include <algorithm>

namespace heatherdeal::weights {

namespace {

using Effects = std::vector<RollingUpdateEffect>;

constexpr size_t kPercent = 100;

bool
IsAtTarget(const RollingUpdateState& aState, const EngineProgress& aEngine)
{
  return aEngine.m_observedVersion &&
         *aEngine.m_observedVersion >= aState.m_targetVersion;
}

size_t
CountPendingOrders(const RollingUpdateState& aState)
{
  return static_cast<size_t>(
    std::ranges::count_if(aState.m_engines, [](const auto& aEntry) {
      return aEntry.second.m_pendingOrder.has_value();
    }));
}

/// Returns the earliest time at which this holder may send the engine an order.
core::Instant
EarliestOrderTime(const RollingUpdateState& aState,
                  const EngineProgress& aEngine)
{
  const bool hasPredecessor = aState.m_predecessorActedUntil.has_value();
  if (aEngine.m_facts.m_checksFencingToken || !hasPredecessor) {
    return aEngine.m_retryAt;
  }
  return std::max(aEngine.m_retryAt,
                  *aState.m_predecessorActedUntil +
                    aState.m_policy.m_unfencedOrderDelay);
}

/// False if the engine does not check fencing tokens and the lease has expired.
/// Its orders then have to wait until the lease is extended.
bool
IsLeaseSufficient(const RollingUpdateState& aState,
                  const EngineProgress& aEngine,
                  core::Instant aNow)
{
  return aEngine.m_facts.m_checksFencingToken || aNow < aState.m_actUntil;
}

bool
ShouldReceiveOrder(const RollingUpdateState& aState,
                   const EngineProgress& aEngine)
{
  return !aEngine.m_facts.m_leaving && !aEngine.m_pendingOrder &&
         !IsAtTarget(aState, aEngine);
}

void
OrderEngine(RollingUpdateState& aState,
            EngineProgress& aEngine,
            core::Instant aNow,
            Effects& aEffects)
{
  const core::Instant deadline = aNow + aState.m_policy.m_orderTimeout;
  aEngine.m_pendingOrder = PendingOrder{ aState.m_targetVersion, deadline };
  aState.m_sentOrderCount += 1;
  aEffects.push_back(LoadOrder{ aEngine.m_facts.m_engine,
                                aState.m_targetVersion,
                                aState.m_epoch,
                                deadline });
}

void
ScheduleRetry(RollingUpdateState& aState,
              EngineProgress& aEngine,
              core::Instant aNow)
{
  aEngine.m_pendingOrder.reset();
  aEngine.m_consecutiveFailures += 1;
  aEngine.m_retryAt = aNow + aState.m_policy.m_retryDelay;
}

/// Sends as many orders as the minimum of serving engines and the weight
/// store's limit of concurrent loads permit. Engines with the fewest failures
/// come first.
void
OrderReadyEngines(RollingUpdateState& aState,
                  core::Instant aNow,
                  Effects& aEffects)
{
  if (aState.m_epoch == 0 || aState.m_targetVersion.m_number == 0) {
    return;
  }
  std::vector<EngineProgress*> readyEngines;
  aState.m_hasWaitingEngine = false;
  for (auto& [id, engine] : aState.m_engines) {
    if (!ShouldReceiveOrder(aState, engine)) {
      continue;
    }
    const bool isReady = EarliestOrderTime(aState, engine) <= aNow &&
                         IsLeaseSufficient(aState, engine, aNow);
    if (isReady) {
      readyEngines.push_back(&engine);
    } else {
      aState.m_hasWaitingEngine = true;
    }
  }
  std::ranges::stable_sort(
    readyEngines, {}, &EngineProgress::m_consecutiveFailures);
  size_t loadCount = CountPendingOrders(aState);
  const size_t maxLoads = MaxConcurrentLoads(aState);
  for (EngineProgress* engine : readyEngines) {
    if (loadCount >= maxLoads) {
      aState.m_hasWaitingEngine = true;
      return;
    }
    OrderEngine(aState, *engine, aNow, aEffects);
    loadCount += 1;
  }
}

void
HandleEvent(RollingUpdateState& aState,
            const TargetAnnounced& aEvent,
            core::Instant)
{
  aState.m_targetVersion = std::max(aState.m_targetVersion, aEvent.m_version);
}

void
HandleEvent(RollingUpdateState& aState,
            const EngineListChanged& aEvent,
            core::Instant)
{
  std::map<core::UpstreamId, EngineProgress> engines;
  for (const EngineFacts& facts : aEvent.m_engines) {
    EngineProgress& engine = engines[facts.m_engine];
    const auto previous = aState.m_engines.find(facts.m_engine);
    if (previous != aState.m_engines.end()) {
      engine = std::move(previous->second);
    }
    engine.m_facts = facts;
  }
  aState.m_engines = std::move(engines);
}

void
HandleEvent(RollingUpdateState& aState,
            const VersionObserved& aEvent,
            core::Instant)
{
  const auto found = aState.m_engines.find(aEvent.m_engine);
  if (found == aState.m_engines.end()) {
    return;
  }
  EngineProgress& engine = found->second;
  engine.m_observedVersion = aEvent.m_version;
  const bool hasLoaded = engine.m_pendingOrder &&
                         aEvent.m_version >= engine.m_pendingOrder->m_version;
  if (hasLoaded) {
    engine.m_pendingOrder.reset();
    engine.m_consecutiveFailures = 0;
  }
}

void
HandleEvent(RollingUpdateState& aState,
            const OrderFailed& aEvent,
            core::Instant aNow)
{
  const auto found = aState.m_engines.find(aEvent.m_engine);
  if (found == aState.m_engines.end() || !found->second.m_pendingOrder ||
      found->second.m_pendingOrder->m_version != aEvent.m_version) {
    return;
  }
  if (std::holds_alternative<core::FenceRejected>(aEvent.m_failure)) {
    // A newer holder of the lease is sending the orders.
    aState.m_epoch = 0;
  }
  // An order with an unknown outcome stays pending until the engine reports the
  // version or the deadline passes. An order that was not executed is retried.
  if (core::ExecutedOf(aEvent.m_failure) == core::Executed::No) {
    ScheduleRetry(aState, found->second, aNow);
  }
}

void
HandleEvent(RollingUpdateState& aState,
            const LeaseAcquired& aEvent,
            core::Instant)
{
  aState.m_epoch = aEvent.m_epoch;
  aState.m_actUntil = aEvent.m_actUntil;
  aState.m_predecessorActedUntil = aEvent.m_predecessorActedUntil;
  for (auto& [id, engine] : aState.m_engines) {
    engine.m_pendingOrder.reset();
  }
}

void
HandleEvent(RollingUpdateState& aState,
            const LeaseExtended& aEvent,
            core::Instant)
{
  aState.m_actUntil = aEvent.m_actUntil;
}

void
HandleEvent(RollingUpdateState& aState, const LeaseLost&, core::Instant)
{
  aState.m_epoch = 0;
}

void
HandleEvent(RollingUpdateState& aState,
            const DeadlineReached&,
            core::Instant aNow)
{
  for (auto& [id, engine] : aState.m_engines) {
    if (engine.m_pendingOrder && engine.m_pendingOrder->m_deadline <= aNow) {
      ScheduleRetry(aState, engine, aNow);
    }
  }
}

/// False for reported versions that cannot lead to an order. Skipping these
/// matters because every engine sends reports.
bool
CanRequireOrder(const RollingUpdateState& aState,
                const RollingUpdateEvent& aEvent)
{
  const auto* observed = std::get_if<VersionObserved>(&aEvent);
  if (observed == nullptr || aState.m_hasWaitingEngine) {
    return true;
  }
  const auto engine = aState.m_engines.find(observed->m_engine);
  return engine != aState.m_engines.end() &&
         ShouldReceiveOrder(aState, engine->second);
}

} // namespace

void
Apply(RollingUpdateState& aState,
      const RollingUpdateEvent& aEvent,
      core::Instant aNow,
      std::vector<RollingUpdateEffect>& aEffects)
{
  std::visit([&](const auto& aTyped) { HandleEvent(aState, aTyped, aNow); },
             aEvent);
  if (CanRequireOrder(aState, aEvent)) {
    OrderReadyEngines(aState, aNow, aEffects);
  }
}

std::optional<core::Instant>
NextDeadline(const RollingUpdateState& aState, core::Instant aNow)
{
  std::optional<core::Instant> next;
  const auto consider = [&next](core::Instant aDeadline) {
    next = next ? std::min(*next, aDeadline) : aDeadline;
  };
  const bool canSendOrders =
    aState.m_epoch != 0 && aState.m_targetVersion.m_number != 0 &&
    CountPendingOrders(aState) < MaxConcurrentLoads(aState);
  for (const auto& [id, engine] : aState.m_engines) {
    if (engine.m_pendingOrder) {
      consider(engine.m_pendingOrder->m_deadline);
    } else if (canSendOrders && ShouldReceiveOrder(aState, engine) &&
               IsLeaseSufficient(aState, engine, aNow)) {
      consider(EarliestOrderTime(aState, engine));
    }
  }
  return next;
}

OrderDelay
FindOrderDelay(const RollingUpdateState& aState, core::Instant aNow)
{
  OrderDelay delay = OrderDelay::None;
  for (const auto& [id, engine] : aState.m_engines) {
    if (engine.m_pendingOrder) {
      return OrderDelay::None;
    }
    if (!ShouldReceiveOrder(aState, engine)) {
      continue;
    }
    if (aState.m_epoch == 0) {
      return OrderDelay::NoLease;
    }
    if (engine.m_retryAt > aNow) {
      delay = OrderDelay::AwaitingRetry;
    } else if (EarliestOrderTime(aState, engine) > aNow) {
      delay = OrderDelay::PredecessorMayAct;
    } else if (!IsLeaseSufficient(aState, engine, aNow)) {
      delay = OrderDelay::LeaseExpired;
    }
  }
  return delay;
}

size_t
MaxConcurrentLoads(const RollingUpdateState& aState)
{
  const size_t engines = aState.m_engines.size();
  const size_t minServing =
    (engines * aState.m_policy.m_floorPercent + kPercent - 1) / kPercent;
  // One engine may always load, even if this violates the minimum. Otherwise a
  // service with a single engine could never be updated.
  const size_t maxLoading = engines > minServing ? engines - minServing : 1;
  return std::min<size_t>(maxLoading, aState.m_policy.m_concurrentLoads);
}

size_t
CountEnginesAtTarget(const RollingUpdateState& aState)
{
  return static_cast<size_t>(
    std::ranges::count_if(aState.m_engines, [&](const auto& aEntry) {
      return IsAtTarget(aState, aEntry.second);
    }));
}

} // namespace heatherdeal::weights
