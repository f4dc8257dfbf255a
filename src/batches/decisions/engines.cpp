#include "batches/engines.h"

#include <algorithm>
#include <map>

#include "batches/decisions/itemstate.h"

namespace heatherdeal::batches {

namespace {

// Healthy engines differ a little in speed; a degraded engine is slower by a
// factor.
constexpr double kSlowFactor = 1.7;
// The fraction by which a fully loaded engine is slower than an idle one.
constexpr double kFullLoadSlowdown = 0.1;
// How long a text waits for an engine of its software. Engines refuse items
// while they load weights, which takes almost as long.
constexpr core::Duration kMaxResumeWait = std::chrono::seconds(1);

bool
CanRunBatch(const BatchRun& aRun, const EngineSnapshot& aEngine)
{
  return aEngine.m_usable &&
         aEngine.m_version >= aRun.m_submission->m_oldestAllowedVersion;
}

/// True if a text of the item that the engine generates fits to the text that
/// there is already.
bool
CanContinueText(const ItemState& aItem, const EngineSnapshot& aEngine)
{
  return !HasText(aItem) || aItem.m_software == aEngine.m_software;
}

/// True if an engine that stays could continue the text of the item, sooner or
/// later. The engines of another service, to which the route may alternate, say
/// nothing about it.
bool
MayBeContinued(const ItemState& aItem, std::span<const EngineSnapshot> aEngines)
{
  return std::ranges::any_of(aEngines, [&](const EngineSnapshot& aEngine) {
    const bool isOtherService =
      aEngine.m_software.m_service != aItem.m_software.m_service;
    const bool isSameSoftware =
      !aEngine.m_isLeaving && aEngine.m_software == aItem.m_software;
    return isOtherService || isSameSoftware;
  });
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
    const bool usable = CanRunBatch(aRun, engine) &&
                        CanContinueText(item, engine) && HasFreeSlot(engine) &&
                        !engine.m_isRefusing;
    if (!usable || (avoidSlow && slow[i])) {
      continue;
    }
    if (engine.m_id == item.m_emptyRunEngine) {
      return i;
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

std::optional<ItemStart>
ChooseNextStart(const BatchRun& aRun,
                std::span<const EngineSnapshot> aEngines,
                core::Instant aNow)
{
  for (const size_t index : aRun.m_startOrder) {
    if (!CanStart(aRun, index, aNow)) {
      continue;
    }
    const std::optional<size_t> engine = ChooseEngine(aRun, index, aEngines);
    if (engine) {
      return ItemStart{ index, *engine };
    }
    // Where an item without a text finds no engine, no such item does.
    if (!HasText(aRun.m_items[index])) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

bool
HasItemFor(const BatchRun& aRun,
           const core::ServiceId& aService,
           core::Instant aNow)
{
  return std::ranges::any_of(aRun.m_startOrder, [&](size_t aItem) {
    const ItemState& item = aRun.m_items[aItem];
    const bool isOfService =
      !HasText(item) || item.m_software.m_service == aService;
    return isOfService && CanStart(aRun, aItem, aNow);
  });
}

std::optional<ItemStart>
FindProbe(const BatchRun& aRun,
          std::span<const EngineSnapshot> aEngines,
          core::Instant aNow)
{
  const bool otherEngineAccepts =
    std::ranges::any_of(aEngines, [&](const EngineSnapshot& aEngine) {
      return !aEngine.m_isRefusing && CanRunBatch(aRun, aEngine);
    });
  for (size_t i = 0; i < aEngines.size(); ++i) {
    const EngineSnapshot& engine = aEngines[i];
    if (!engine.m_isRefusing || !CanRunBatch(aRun, engine) ||
        !HasFreeSlot(engine)) {
      continue;
    }
    std::optional<size_t> item;
    for (const size_t index : aRun.m_startOrder) {
      if (CanStart(aRun, index, aNow) &&
          CanContinueText(aRun.m_items[index], engine)) {
        item = index;
        if (!otherEngineAccepts) {
          break;
        }
      }
    }
    if (item) {
      return ItemStart{ *item, i };
    }
  }
  return std::nullopt;
}

size_t
DiscardOrphanedTexts(BatchRun& aRun,
                     std::span<const EngineSnapshot> aEngines,
                     core::Instant aNow)
{
  size_t discarded = 0;
  for (ItemState& item : aRun.m_items) {
    if (!HasText(item) || !std::holds_alternative<ItemWaiting>(item.m_phase)) {
      continue;
    }
    if (item.m_resumeUntil == core::Instant{}) {
      item.m_resumeUntil = aNow + kMaxResumeWait;
    }
    if (!MayBeContinued(item, aEngines) || item.m_resumeUntil <= aNow) {
      ResetText(item);
      discarded += 1;
    }
  }
  return discarded;
}

size_t
DiscardTextsOfOtherServices(BatchRun& aRun,
                            std::span<const core::ServiceId> aServices)
{
  if (aServices.empty()) {
    return 0;
  }
  size_t discarded = 0;
  for (ItemState& item : aRun.m_items) {
    const bool isWaitingText =
      HasText(item) && std::holds_alternative<ItemWaiting>(item.m_phase);
    const bool isOfService =
      std::ranges::find(aServices, item.m_software.m_service) !=
      aServices.end();
    if (isWaitingText && !isOfService) {
      ResetText(item);
      discarded += 1;
    }
  }
  return discarded;
}

std::vector<size_t>
FindItemsToMove(const BatchRun& aRun, std::span<const EngineSnapshot> aEngines)
{
  const std::vector<bool> slow = FindSlowEngines(aEngines);
  // A text would be lost on an engine that runs other software.
  std::map<core::Software, size_t> freeSlots;
  for (size_t i = 0; i < aEngines.size(); ++i) {
    const EngineSnapshot& engine = aEngines[i];
    if (!slow[i] && CanRunBatch(aRun, engine) && HasFreeSlot(engine)) {
      freeSlots[engine.m_software] += engine.m_slots - engine.m_outstanding;
    }
  }
  std::vector<size_t> items;
  if (aRun.m_policy.m_singleVersion) {
    return items;
  }
  for (const size_t index : aRun.m_startOrder) {
    const ItemState& item = aRun.m_items[index];
    const auto engine =
      std::ranges::find(aEngines, item.m_lastEngine, &EngineSnapshot::m_id);
    const bool isRunning = std::holds_alternative<ItemRunning>(item.m_phase);
    if (!isRunning || engine == aEngines.end() ||
        !slow[static_cast<size_t>(engine - aEngines.begin())]) {
      continue;
    }
    size_t& free = freeSlots[item.m_software];
    if (free > 0) {
      free -= 1;
      items.push_back(index);
    }
  }
  return items;
}

} // namespace heatherdeal::batches
