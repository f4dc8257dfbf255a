#include "batches/engines.h"

#include <algorithm>

namespace heatherdeal::batches {

namespace {

// Healthy engines differ a little in speed; a degraded engine is slower by a
// factor.
constexpr double kSlowFactor = 1.7;
// The fraction by which a fully loaded engine is slower than an idle one.
constexpr double kFullLoadSlowdown = 0.1;

bool
CanRunBatch(const BatchRun& aRun, const EngineSnapshot& aEngine)
{
  return aEngine.m_usable &&
         aEngine.m_version >= aRun.m_submission->m_oldestAllowedVersion;
}

bool
HasFreeSlot(const EngineSnapshot& aEngine)
{
  return aEngine.m_outstanding < aEngine.m_slots;
}

double
ComputeLoad(const EngineSnapshot& aEngine)
{
  return static_cast<double>(aEngine.m_outstanding) / aEngine.m_slots;
}

/// Returns the cost of running a long text on an engine; the lowest is best. An
/// engine without a measurement counts as fast, so that it gets measured.
double
ComputeLongTextCost(const EngineSnapshot& aEngine)
{
  const auto eventInterval =
    static_cast<double>(aEngine.m_lastEventInterval.count());
  return eventInterval * (1.0 + kFullLoadSlowdown * ComputeLoad(aEngine));
}

/// True if the first engine is the better choice for an item.
bool
IsBetter(const EngineSnapshot& aOne, const EngineSnapshot& aOther, bool aIsLong)
{
  if (aIsLong && ComputeLongTextCost(aOne) != ComputeLongTextCost(aOther)) {
    return ComputeLongTextCost(aOne) < ComputeLongTextCost(aOther);
  }
  return ComputeLoad(aOne) < ComputeLoad(aOther);
}

/// True if an engine that is not slow can run items of the batch, now or once
/// it has a free slot.
bool
HasFastEngine(const BatchRun& aRun,
              std::span<const EngineSnapshot> aEngines,
              const std::vector<bool>& aSlow)
{
  for (size_t i = 0; i < aEngines.size(); ++i) {
    if (!aSlow[i] && CanRunBatch(aRun, aEngines[i])) {
      return true;
    }
  }
  return false;
}

} // namespace

std::vector<bool>
FindSlowEngines(std::span<const EngineSnapshot> aEngines)
{
  std::vector<core::Duration> eventIntervals;
  for (const EngineSnapshot& engine : aEngines) {
    if (engine.m_eventInterval > core::Duration::zero()) {
      eventIntervals.push_back(engine.m_eventInterval);
    }
  }
  std::vector<bool> slow(aEngines.size(), false);
  if (eventIntervals.size() < 2) {
    return slow;
  }
  // With the lower median, one of just two engines can be found slow.
  const auto median =
    eventIntervals.begin() +
    static_cast<std::ptrdiff_t>((eventIntervals.size() - 1) / 2);
  std::ranges::nth_element(eventIntervals, median);
  const double limit = static_cast<double>(median->count()) * kSlowFactor;
  for (size_t i = 0; i < aEngines.size(); ++i) {
    slow[i] = static_cast<double>(aEngines[i].m_eventInterval.count()) > limit;
  }
  return slow;
}

std::optional<size_t>
ChooseEngine(const BatchRun& aRun,
             size_t aItem,
             std::span<const EngineSnapshot> aEngines)
{
  const ItemState& item = aRun.m_items[aItem];
  const std::vector<bool> slow = FindSlowEngines(aEngines);
  const bool avoidSlow = HasFastEngine(aRun, aEngines, slow);
  const bool isLong = IsLongItem(aRun, aItem);
  const auto group =
    aRun.m_groupEngines.find(aRun.m_submission->m_items[aItem].m_group);
  std::optional<size_t> best;
  std::optional<size_t> previous;
  for (size_t i = 0; i < aEngines.size(); ++i) {
    const EngineSnapshot& engine = aEngines[i];
    const bool usable =
      CanRunBatch(aRun, engine) && HasFreeSlot(engine) && !engine.m_isRefusing;
    if (!usable || (avoidSlow && slow[i])) {
      continue;
    }
    if (engine.m_id == item.m_lastEngine) {
      previous = i;
      continue;
    }
    if (!isLong && group != aRun.m_groupEngines.end() &&
        group->second == engine.m_id) {
      return i;
    }
    if (!best || IsBetter(engine, aEngines[*best], isLong)) {
      best = i;
    }
  }
  return best ? best : previous;
}

std::optional<size_t>
FindEngineToProbe(const BatchRun& aRun,
                  std::span<const EngineSnapshot> aEngines)
{
  for (size_t i = 0; i < aEngines.size(); ++i) {
    const EngineSnapshot& engine = aEngines[i];
    if (engine.m_isRefusing && CanRunBatch(aRun, engine) &&
        HasFreeSlot(engine)) {
      return i;
    }
  }
  return std::nullopt;
}

std::optional<size_t>
FindProbeItem(const BatchRun& aRun,
              std::span<const EngineSnapshot> aEngines,
              core::Instant aNow)
{
  const bool otherEngineAccepts =
    std::ranges::any_of(aEngines, [&](const EngineSnapshot& aEngine) {
      return !aEngine.m_isRefusing && CanRunBatch(aRun, aEngine);
    });
  return otherEngineAccepts ? FindLastItemToStart(aRun, aNow)
                            : FindNextItemToStart(aRun, aNow);
}

std::vector<size_t>
FindItemsToMove(const BatchRun& aRun, std::span<const EngineSnapshot> aEngines)
{
  const std::vector<bool> slow = FindSlowEngines(aEngines);
  size_t freeSlots = 0;
  for (size_t i = 0; i < aEngines.size(); ++i) {
    const EngineSnapshot& engine = aEngines[i];
    if (!slow[i] && CanRunBatch(aRun, engine) && HasFreeSlot(engine)) {
      freeSlots += engine.m_slots - engine.m_outstanding;
    }
  }
  std::vector<size_t> items;
  for (const size_t index : aRun.m_startOrder) {
    if (items.size() >= freeSlots || aRun.m_policy.m_singleVersion) {
      break;
    }
    const ItemState& item = aRun.m_items[index];
    const auto engine =
      std::ranges::find(aEngines, item.m_lastEngine, &EngineSnapshot::m_id);
    const bool isRunning = std::holds_alternative<ItemRunning>(item.m_phase);
    if (isRunning && engine != aEngines.end() &&
        slow[static_cast<size_t>(engine - aEngines.begin())]) {
      items.push_back(index);
    }
  }
  return items;
}

} // namespace heatherdeal::batches
