// Checkpoints of unfinished texts, from which the next owner resumes them.

#include <algorithm>

#include "batches/decisions/itemstate.h"

namespace heatherdeal::batches {

namespace {

// What an object of the store holds. Larger checkpoints are not even copied.
constexpr size_t kMaxCheckpointBytes = 1024UL * 1024;

/// Returns the size of the texts that are not complete.
size_t
UnfinishedBytes(const BatchRun& aRun)
{
  size_t bytes = 0;
  for (const ItemState& item : aRun.m_items) {
    bytes += IsDone(item) ? 0 : item.m_text.size();
  }
  return bytes;
}

} // namespace

std::optional<Checkpoint>
StartNextCheckpoint(BatchRun& aRun, core::Instant aNow)
{
  const bool disabled = aRun.m_ended || aRun.m_policy.m_singleVersion;
  if (disabled || aNow < aRun.m_nextCheckpointAt) {
    return std::nullopt;
  }
  const uint64_t minEvents = aRun.m_policy.m_minCheckpointEvents;
  const bool due = std::ranges::any_of(aRun.m_items, [&](const auto& aItem) {
    return !IsDone(aItem) &&
           aItem.m_eventCount >= aItem.m_checkpointedEvents + minEvents;
  });
  if (!due || UnfinishedBytes(aRun) > kMaxCheckpointBytes) {
    return std::nullopt;
  }
  Checkpoint checkpoint;
  for (size_t i = 0; i < aRun.m_items.size(); ++i) {
    const ItemState& item = aRun.m_items[i];
    if (!IsDone(item) && item.m_eventCount >= minEvents) {
      checkpoint.m_texts.push_back({ aRun.m_submission->m_items[i].m_id,
                                     item.m_text,
                                     item.m_eventCount,
                                     item.m_versions,
                                     item.m_software });
    }
  }
  aRun.m_nextCheckpointAt = core::Instant::max();
  return checkpoint;
}

void
FinishCheckpoint(BatchRun& aRun,
                 const Checkpoint& aCheckpoint,
                 bool aStored,
                 core::Instant aNow)
{
  aRun.m_nextCheckpointAt = aNow + aRun.m_policy.m_checkpointInterval;
  if (!aStored) {
    return;
  }
  for (const PartialText& text : aCheckpoint.m_texts) {
    const auto index = aRun.m_itemIndexes.find(text.m_item.m_value);
    if (index != aRun.m_itemIndexes.end()) {
      aRun.m_items[index->second].m_checkpointedEvents = text.m_lastEvent;
    }
  }
}

size_t
AdoptCheckpoint(BatchRun& aRun, Checkpoint aCheckpoint)
{
  if (aRun.m_policy.m_singleVersion) {
    return 0;
  }
  size_t adopted = 0;
  for (PartialText& text : aCheckpoint.m_texts) {
    const auto index = aRun.m_itemIndexes.find(text.m_item.m_value);
    if (index == aRun.m_itemIndexes.end()) {
      continue;
    }
    ItemState& item = aRun.m_items[index->second];
    const bool isWaiting = std::holds_alternative<ItemWaiting>(item.m_phase);
    if (!isWaiting || !text.m_software) {
      continue;
    }
    item.m_text = std::move(text.m_text);
    item.m_eventCount = text.m_lastEvent;
    item.m_versions = std::move(text.m_versions);
    item.m_checkpointedEvents = item.m_eventCount;
    item.m_software = *std::move(text.m_software);
    if (!HasUsableVersions(aRun, item)) {
      ResetText(item);
      continue;
    }
    adopted += 1;
  }
  return adopted;
}

} // namespace heatherdeal::batches
