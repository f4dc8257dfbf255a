// Decides which results are stored as one chunk, and when.

#include <algorithm>
#include <functional>

#include "batches/decisions/itemstate.h"

namespace heatherdeal::batches {

namespace {

// An object store value holds at most one megabyte, including its encoding.
constexpr size_t kMaxChunkBytes = 400 * 1024;
constexpr size_t kMaxChunkResults = 256;

size_t
CountIf(const BatchRun& aRun, const std::function<bool(size_t)>& aIsThere)
{
  return static_cast<size_t>(
    std::ranges::count_if(aRun.m_groups, [&](const auto& aGroup) {
      return std::ranges::all_of(aGroup.second, aIsThere);
    }));
}

/// True if the waiting results complete the number of groups that the trainer
/// waits for.
bool
CompletesStep(const BatchRun& aRun)
{
  const size_t wanted = aRun.m_submission->m_wantedGroups;
  const auto isDecided = [&](size_t aItem) {
    return IsDone(aRun.m_items[aItem]);
  };
  if (wanted == 0 || CountIf(aRun, isDecided) < wanted) {
    return false;
  }
  std::set<std::string_view> waiting;
  for (const ItemResult& result : aRun.m_ready) {
    waiting.insert(result.m_item.m_value);
  }
  const auto isListed = [&](size_t aItem) {
    const std::string& id = aRun.m_submission->m_items[aItem].m_id.m_value;
    return isDecided(aItem) && !waiting.contains(id);
  };
  return CountIf(aRun, isListed) < wanted;
}

size_t
SizeOf(const ItemResult& aResult)
{
  const auto* completed = std::get_if<Completed>(&aResult.m_outcome);
  return completed == nullptr ? 0 : completed->m_text.size();
}

bool
AllDecided(const BatchRun& aRun)
{
  return std::ranges::all_of(aRun.m_items, IsDone);
}

} // namespace

void
AdoptChunk(BatchRun& aRun, ResultChunk aChunk)
{
  for (ItemResult& result : aChunk.m_results) {
    const auto index = aRun.m_indexes.find(result.m_item.m_value);
    if (index != aRun.m_indexes.end()) {
      aRun.m_items[index->second].m_phase = ItemDone{};
    }
    aRun.m_listed.push_back(std::move(result));
  }
  aRun.m_nextChunk = aChunk.m_number + 1;
}

std::optional<ResultChunk>
NextChunk(BatchRun& aRun, core::Instant aNow)
{
  if (aRun.m_writing || aRun.m_ready.empty() || aRun.m_ended) {
    return std::nullopt;
  }
  const bool due =
    aRun.m_storeFrom <= aNow || AllDecided(aRun) || CompletesStep(aRun);
  if (!due) {
    return std::nullopt;
  }
  ResultChunk chunk;
  chunk.m_number = aRun.m_nextChunk;
  size_t bytes = 0;
  size_t count = 0;
  for (const ItemResult& result : aRun.m_ready) {
    bytes += SizeOf(result);
    if (count > 0 && (bytes > kMaxChunkBytes || count >= kMaxChunkResults)) {
      break;
    }
    count += 1;
  }
  const auto end = aRun.m_ready.begin() + static_cast<std::ptrdiff_t>(count);
  chunk.m_results.assign(aRun.m_ready.begin(), end);
  aRun.m_ready.erase(aRun.m_ready.begin(), end);
  aRun.m_storeFrom = aNow + aRun.m_policy.m_gather;
  aRun.m_writing = chunk;
  return chunk;
}

void
ChunkStored(BatchRun& aRun)
{
  if (!aRun.m_writing) {
    return;
  }
  ResultChunk chunk = *std::move(aRun.m_writing);
  aRun.m_writing.reset();
  AdoptChunk(aRun, std::move(chunk));
}

void
ChunkTaken(BatchRun& aRun, ResultChunk aFound, core::Instant aNow)
{
  if (!aRun.m_writing) {
    return;
  }
  ResultChunk own = *std::move(aRun.m_writing);
  aRun.m_writing.reset();
  // The other owner's results are final. Our own results are kept only for
  // items that its chunk does not contain.
  std::set<std::string, std::less<>> found;
  for (const ItemResult& result : aFound.m_results) {
    found.insert(result.m_item.m_value);
  }
  AdoptChunk(aRun, std::move(aFound));
  aRun.m_ready.insert(
    aRun.m_ready.begin(), own.m_results.begin(), own.m_results.end());
  std::erase_if(aRun.m_ready, [&found](const ItemResult& aResult) {
    return found.contains(aResult.m_item.m_value);
  });
  aRun.m_storeFrom = aNow;
}

bool
IsComplete(const BatchRun& aRun)
{
  return aRun.m_listed.size() >= aRun.m_items.size();
}

} // namespace heatherdeal::batches
