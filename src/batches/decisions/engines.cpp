#include "batches/engines.h"

namespace heatherdeal::batches {

namespace {

bool
MayRun(const BatchRun& aRun, const EngineFacts& aEngine)
{
  return aEngine.m_usable && aEngine.m_outstanding < aEngine.m_slots &&
         aEngine.m_version >= aRun.m_submission->m_oldest;
}

double
LoadOf(const EngineFacts& aEngine)
{
  return static_cast<double>(aEngine.m_outstanding) / aEngine.m_slots;
}

} // namespace

std::optional<size_t>
ChooseEngine(const BatchRun& aRun,
             size_t aItem,
             std::span<const EngineFacts> aEngines)
{
  const ItemState& item = aRun.m_items[aItem];
  const auto group =
    aRun.m_groupEngines.find(aRun.m_submission->m_items[aItem].m_group);
  std::optional<size_t> best;
  std::optional<size_t> last;
  for (size_t i = 0; i < aEngines.size(); ++i) {
    const EngineFacts& engine = aEngines[i];
    if (!MayRun(aRun, engine)) {
      continue;
    }
    if (engine.m_id == item.m_lastEngine) {
      last = i;
      continue;
    }
    if (group != aRun.m_groupEngines.end() && group->second == engine.m_id) {
      return i;
    }
    if (!best || LoadOf(engine) < LoadOf(aEngines[*best])) {
      best = i;
    }
  }
  return best ? best : last;
}

} // namespace heatherdeal::batches
