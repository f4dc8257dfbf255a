#include "batches/decisions/itemstate.h"

#include <algorithm>

namespace heatherdeal::batches {

bool
IsDone(const ItemState& aItem)
{
  return std::holds_alternative<ItemDone>(aItem.m_phase);
}

void
ResetText(ItemState& aItem)
{
  // clear() would keep the memory.
  std::string().swap(aItem.m_text);
  aItem.m_eventCount = 0;
  aItem.m_checkpointedEvents = 0;
  aItem.m_versions.clear();
  aItem.m_resumeUntil = {};
  aItem.m_mayBeComplete = false;
  aItem.m_emptyRunEngine = {};
}

bool
HasText(const ItemState& aItem)
{
  return aItem.m_eventCount > 0;
}

bool
HasUsableVersions(const BatchRun& aRun, const ItemState& aItem)
{
  const bool mixed =
    aRun.m_policy.m_singleVersion && aItem.m_versions.size() > 1;
  const bool old =
    std::ranges::any_of(aItem.m_versions, [&](core::WeightVersion aVersion) {
      return aVersion < aRun.m_submission->m_oldestAllowedVersion;
    });
  return !mixed && !old;
}

} // namespace heatherdeal::batches
