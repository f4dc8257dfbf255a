#include "batches/engines.h"

#include <algorithm>

namespace heatherdeal::batches {

namespace {

// Healthy engines differ a little in speed; a degraded engine is slower by a
// factor.
constexpr double kSlowFactor = 1.7;
// The fraction by which a fully loaded engine is slower than an idle one.
constexpr double kLoadWeight = 0.1;

bool
MayRun(const BatchRun& aRun, const EngineFacts& aEngine)
{
  return aEngine.m_usable && aEngine.m_version >= aRun.m_submission->m_oldest;
}

bool
HasRoom(const EngineFacts& aEngine)
{
  return aEngine.m_outstanding < aEngine.m_slots;
}

double
LoadOf(const EngineFacts& aEngine)
{
  return static_cast<double>(aEngine.m_outstanding) / aEngine.m_slots;
}

/// Returns the cost of running a long text on an engine; the lowest is best. An
/// engine without a measurement counts as fast, so that it gets measured.
double
CostOfLong(const EngineFacts& aEngine)
{
  const auto pace = static_cast<double>(aEngine.m_usualPace.count());
  return pace * (1.0 + kLoadWeight * LoadOf(aEngine));
}

/// True if the first engine is the better choice for an item.
bool
IsBetter(const EngineFacts& aOne, const EngineFacts& aOther, bool aForLong)
{
  if (aForLong && CostOfLong(aOne) != CostOfLong(aOther)) {
    return CostOfLong(aOne) < CostOfLong(aOther);
  }
  return LoadOf(aOne) < LoadOf(aOther);
}

/// True if an engine that is not slow can run items of the batch, now or once
/// it has a free slot.
bool
FastOneExists(const BatchRun& aRun,
              std::span<const EngineFacts> aEngines,
              const std::vector<bool>& aSlow)
{
  for (size_t i = 0; i < aEngines.size(); ++i) {
    if (!aSlow[i] && MayRun(aRun, aEngines[i])) {
      return true;
    }
  }
  return false;
}

} // namespace

std::vector<bool>
FindSlow(std::span<const EngineFacts> aEngines)
{
  std::vector<core::Duration> paces;
  for (const EngineFacts& engine : aEngines) {
    if (engine.m_pace > core::Duration::zero()) {
      paces.push_back(engine.m_pace);
    }
  }
  std::vector<bool> slow(aEngines.size(), false);
  if (paces.size() < 2) {
    return slow;
  }
  // With the lower median, one of just two engines can be found slow.
  const auto middle =
    paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 2);
  std::ranges::nth_element(paces, middle);
  const double limit = static_cast<double>(middle->count()) * kSlowFactor;
  for (size_t i = 0; i < aEngines.size(); ++i) {
    slow[i] = static_cast<double>(aEngines[i].m_pace.count()) > limit;
  }
  return slow;
}

std::optional<size_t>
ChooseEngine(const BatchRun& aRun,
             size_t aItem,
             std::span<const EngineFacts> aEngines)
{
  const ItemState& item = aRun.m_items[aItem];
  const std::vector<bool> slow = FindSlow(aEngines);
  const bool avoidSlow = FastOneExists(aRun, aEngines, slow);
  const bool isLong = IsLong(aRun, aItem);
  const auto group =
    aRun.m_groupEngines.find(aRun.m_submission->m_items[aItem].m_group);
  std::optional<size_t> best;
  std::optional<size_t> last;
  for (size_t i = 0; i < aEngines.size(); ++i) {
    const EngineFacts& engine = aEngines[i];
    const bool usable =
      MayRun(aRun, engine) && HasRoom(engine) && !engine.m_refuses;
    if (!usable || (avoidSlow && slow[i])) {
      continue;
    }
    if (engine.m_id == item.m_lastEngine) {
      last = i;
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
  return best ? best : last;
}

std::optional<size_t>
EngineToTry(const BatchRun& aRun, std::span<const EngineFacts> aEngines)
{
  for (size_t i = 0; i < aEngines.size(); ++i) {
    const EngineFacts& engine = aEngines[i];
    if (engine.m_refuses && MayRun(aRun, engine) && HasRoom(engine)) {
      return i;
    }
  }
  return std::nullopt;
}

std::optional<size_t>
ItemToTry(const BatchRun& aRun,
          std::span<const EngineFacts> aEngines,
          core::Instant aNow)
{
  const bool othersTake =
    std::ranges::any_of(aEngines, [&](const EngineFacts& aEngine) {
      return !aEngine.m_refuses && MayRun(aRun, aEngine);
    });
  return othersTake ? LastToRun(aRun, aNow) : NextToRun(aRun, aNow);
}

std::vector<size_t>
ItemsToMove(const BatchRun& aRun, std::span<const EngineFacts> aEngines)
{
  const std::vector<bool> slow = FindSlow(aEngines);
  size_t room = 0;
  for (size_t i = 0; i < aEngines.size(); ++i) {
    const EngineFacts& engine = aEngines[i];
    if (!slow[i] && MayRun(aRun, engine) && HasRoom(engine)) {
      room += engine.m_slots - engine.m_outstanding;
    }
  }
  std::vector<size_t> items;
  for (const size_t index : aRun.m_order) {
    if (items.size() >= room || aRun.m_policy.m_singleVersion) {
      break;
    }
    const ItemState& item = aRun.m_items[index];
    const auto engine =
      std::ranges::find(aEngines, item.m_lastEngine, &EngineFacts::m_id);
    const bool runs = std::holds_alternative<ItemRunning>(item.m_phase);
    if (runs && engine != aEngines.end() &&
        slow[static_cast<size_t>(engine - aEngines.begin())]) {
      items.push_back(index);
    }
  }
  return items;
}

} // namespace heatherdeal::batches
