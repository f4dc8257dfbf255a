#include "weights/wave.h"

#include <algorithm>

namespace heatherdeal::weights {

namespace {

using Effects = std::vector<WaveEffect>;

constexpr size_t kPercent = 100;

bool
IsAtTarget(const WaveState& aState, const EngineProgress& aEngine)
{
  return aEngine.m_observed && *aEngine.m_observed >= aState.m_target;
}

size_t
LoadsRunning(const WaveState& aState)
{
  return static_cast<size_t>(
    std::ranges::count_if(aState.m_engines, [](const auto& aEntry) {
      return aEntry.second.m_order.has_value();
    }));
}

/// Returns the earliest time at which this holder may send the engine an order.
core::Instant
OrdersFrom(const WaveState& aState, const EngineProgress& aEngine)
{
  if (aEngine.m_facts.m_checksFence) {
    return aEngine.m_retryAt;
  }
  return std::max(aEngine.m_retryAt,
                  aState.m_grantedAt + aState.m_policy.m_waitOut);
}

bool
NeedsOrder(const WaveState& aState, const EngineProgress& aEngine)
{
  return !aEngine.m_facts.m_leaving && !aEngine.m_order &&
         !IsAtTarget(aState, aEngine);
}

void
Order(WaveState& aState,
      EngineProgress& aEngine,
      core::Instant aNow,
      Effects& aEffects)
{
  const core::Instant deadline = aNow + aState.m_policy.m_orderTime;
  aEngine.m_order = LoadOrder{ aState.m_target, deadline };
  aState.m_orders += 1;
  aEffects.push_back(OrderLoad{
    aEngine.m_facts.m_engine, aState.m_target, aState.m_epoch, deadline });
}

void
GiveUpOrder(WaveState& aState, EngineProgress& aEngine, core::Instant aNow)
{
  aEngine.m_order.reset();
  aEngine.m_failures += 1;
  aEngine.m_retryAt = aNow + aState.m_policy.m_retryAfter;
}

/// Sends as many orders as the minimum of available engines and the limit of
/// concurrent loads permit. Engines with the fewest failures come first.
void
OrderNext(WaveState& aState, core::Instant aNow, Effects& aEffects)
{
  if (aState.m_epoch == 0 || aState.m_target.m_number == 0) {
    return;
  }
  std::vector<EngineProgress*> waiting;
  aState.m_engineWaits = false;
  for (auto& [id, engine] : aState.m_engines) {
    if (!NeedsOrder(aState, engine)) {
      continue;
    }
    if (OrdersFrom(aState, engine) <= aNow) {
      waiting.push_back(&engine);
    } else {
      aState.m_engineWaits = true;
    }
  }
  std::ranges::stable_sort(waiting, {}, &EngineProgress::m_failures);
  size_t running = LoadsRunning(aState);
  const size_t allowed = LoadsAllowed(aState);
  for (EngineProgress* engine : waiting) {
    if (running >= allowed) {
      aState.m_engineWaits = true;
      return;
    }
    Order(aState, *engine, aNow, aEffects);
    running += 1;
  }
}

void
On(WaveState& aState, const TargetSeen& aEvent, core::Instant)
{
  aState.m_target = std::max(aState.m_target, aEvent.m_version);
}

void
On(WaveState& aState, const EnginesListed& aEvent, core::Instant)
{
  std::map<core::UpstreamId, EngineProgress> engines;
  for (const EngineFacts& facts : aEvent.m_engines) {
    EngineProgress& engine = engines[facts.m_engine];
    const auto known = aState.m_engines.find(facts.m_engine);
    if (known != aState.m_engines.end()) {
      engine = std::move(known->second);
    }
    engine.m_facts = facts;
  }
  aState.m_engines = std::move(engines);
}

void
On(WaveState& aState, const VersionObserved& aEvent, core::Instant)
{
  const auto found = aState.m_engines.find(aEvent.m_engine);
  if (found == aState.m_engines.end()) {
    return;
  }
  EngineProgress& engine = found->second;
  engine.m_observed = aEvent.m_version;
  const bool loaded =
    engine.m_order && aEvent.m_version >= engine.m_order->m_version;
  if (loaded) {
    engine.m_order.reset();
    engine.m_failures = 0;
  }
}

void
On(WaveState& aState, const OrderFailed& aEvent, core::Instant aNow)
{
  const auto found = aState.m_engines.find(aEvent.m_engine);
  if (found == aState.m_engines.end() || !found->second.m_order ||
      found->second.m_order->m_version != aEvent.m_version) {
    return;
  }
  if (std::holds_alternative<core::FenceRejected>(aEvent.m_failure)) {
    // A newer holder of the lease is sending the orders.
    aState.m_epoch = 0;
  }
  // An order with an unknown outcome stays pending until the engine reports the
  // version or the deadline passes. An order that was not executed is retried.
  if (core::ExecutedOf(aEvent.m_failure) == core::Executed::No) {
    GiveUpOrder(aState, found->second, aNow);
  }
}

void
On(WaveState& aState, const LeaseBegan& aEvent, core::Instant aNow)
{
  aState.m_epoch = aEvent.m_epoch;
  aState.m_grantedAt = aNow;
  for (auto& [id, engine] : aState.m_engines) {
    engine.m_order.reset();
  }
}

void
On(WaveState& aState, const LeaseEnded&, core::Instant)
{
  aState.m_epoch = 0;
}

void
On(WaveState& aState, const WaveTimer&, core::Instant aNow)
{
  for (auto& [id, engine] : aState.m_engines) {
    if (engine.m_order && engine.m_order->m_deadline <= aNow) {
      GiveUpOrder(aState, engine, aNow);
    }
  }
}

/// False for reported versions that cannot lead to an order. Skipping these
/// matters because every engine sends reports.
bool
MayCallForOrder(const WaveState& aState, const WaveEvent& aEvent)
{
  const auto* observed = std::get_if<VersionObserved>(&aEvent);
  if (observed == nullptr || aState.m_engineWaits) {
    return true;
  }
  const auto engine = aState.m_engines.find(observed->m_engine);
  return engine != aState.m_engines.end() && NeedsOrder(aState, engine->second);
}

} // namespace

void
Apply(WaveState& aState,
      const WaveEvent& aEvent,
      core::Instant aNow,
      std::vector<WaveEffect>& aEffects)
{
  std::visit([&](const auto& aTyped) { On(aState, aTyped, aNow); }, aEvent);
  if (MayCallForOrder(aState, aEvent)) {
    OrderNext(aState, aNow, aEffects);
  }
}

std::optional<core::Instant>
NextDeadline(const WaveState& aState)
{
  std::optional<core::Instant> next;
  const auto consider = [&next](core::Instant aDeadline) {
    next = next ? std::min(*next, aDeadline) : aDeadline;
  };
  const bool mayOrder = aState.m_epoch != 0 && aState.m_target.m_number != 0 &&
                        LoadsRunning(aState) < LoadsAllowed(aState);
  for (const auto& [id, engine] : aState.m_engines) {
    if (engine.m_order) {
      consider(engine.m_order->m_deadline);
    } else if (mayOrder && NeedsOrder(aState, engine)) {
      consider(OrdersFrom(aState, engine));
    }
  }
  return next;
}

size_t
LoadsAllowed(const WaveState& aState)
{
  const size_t engines = aState.m_engines.size();
  const size_t floor =
    (engines * aState.m_policy.m_floorPercent + kPercent - 1) / kPercent;
  // One engine may always load, even if this violates the minimum. Otherwise a
  // service with a single engine could never be updated.
  const size_t spare = engines > floor ? engines - floor : 1;
  return std::min<size_t>(spare, aState.m_policy.m_concurrentLoads);
}

size_t
EnginesAtTarget(const WaveState& aState)
{
  return static_cast<size_t>(
    std::ranges::count_if(aState.m_engines, [&](const auto& aEntry) {
      return IsAtTarget(aState, aEntry.second);
    }));
}

} // namespace heatherdeal::weights
