// Checkpoints of unfinished texts, from which the next owner resumes them.

#include <algorithm>

#include "batches/decisions/itemstate.h"

namespace heatherdeal::batches {

std::optional<Checkpoint>
NextCheckpoint(BatchRun& aRun, core::Instant aNow)
{
  const bool useless = aRun.m_ended || aRun.m_policy.m_singleVersion;
  if (useless || aNow < aRun.m_checkpointFrom) {
    return std::nullopt;
  }
  const uint64_t enough = aRun.m_policy.m_checkpointEvents;
  const bool due = std::ranges::any_of(aRun.m_items, [&](const auto& aItem) {
    return !IsDone(aItem) && aItem.m_events >= aItem.m_savedEvents + enough;
  });
  if (!due) {
    return std::nullopt;
  }
  Checkpoint checkpoint;
  for (size_t i = 0; i < aRun.m_items.size(); ++i) {
    const ItemState& item = aRun.m_items[i];
    if (!IsDone(item) && item.m_events >= enough) {
      checkpoint.m_texts.push_back({ aRun.m_submission->m_items[i].m_id,
                                     item.m_text,
                                     item.m_events,
                                     item.m_versions });
    }
  }
  aRun.m_checkpointFrom = core::Instant::max();
  return checkpoint;
}

void
CheckpointWritten(BatchRun& aRun,
                  const Checkpoint& aCheckpoint,
                  bool aStored,
                  core::Instant aNow)
{
  aRun.m_checkpointFrom = aNow + aRun.m_policy.m_checkpointInterval;
  if (!aStored) {
    return;
  }
  for (const PartialText& text : aCheckpoint.m_texts) {
    const auto index = aRun.m_indexes.find(text.m_item.m_value);
    if (index != aRun.m_indexes.end()) {
      aRun.m_items[index->second].m_savedEvents = text.m_lastEvent;
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
    const auto index = aRun.m_indexes.find(text.m_item.m_value);
    if (index == aRun.m_indexes.end()) {
      continue;
    }
    ItemState& item = aRun.m_items[index->second];
    if (!std::holds_alternative<ItemWaiting>(item.m_phase)) {
      continue;
    }
    item.m_text = std::move(text.m_text);
    item.m_events = text.m_lastEvent;
    item.m_versions = std::move(text.m_versions);
    item.m_savedEvents = item.m_events;
    if (!VersionsFit(aRun, item)) {
      StartOver(item);
      continue;
    }
    adopted += 1;
  }
  return adopted;
}

} // namespace heatherdeal::batches
