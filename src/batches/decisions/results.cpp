// Decides which results are stored as one chunk, and when.

#include <algorithm>
#include <functional>

#include "batches/decisions/itemstate.h"

namespace heatherdeal::batches {

namespace {

// An object store value holds at most one megabyte, including its encoding.
constexpr size_t kMaxChunkBytes = 400 * 1024;
constexpr size_t kMaxChunkResults = 256;
// Trainers read one page at a time and wait between two reads, so a page holds
// as much as a response may.
constexpr size_t kMaxPageBytes = 950'000;
// Encoded size of a result without its texts, rounded up: names of the fields,
// punctuation, versions.
constexpr size_t kResultOverheadBytes = 200;
constexpr size_t kEncodedVersionBytes = 21;
// Encoded size of a control character in JSON, such as \u0001.
constexpr size_t kEncodedControlBytes = 6;
constexpr unsigned char kFirstPrintable = 0x20;

size_t
CountGroupsIf(const BatchRun& aRun,
              const std::function<bool(size_t)>& aPredicate)
{
  return static_cast<size_t>(
    std::ranges::count_if(aRun.m_groupItems, [&](const auto& aGroup) {
      return std::ranges::all_of(aGroup.second, aPredicate);
    }));
}

/// True if the waiting results complete the number of groups that the trainer
/// waits for.
bool
CompletesWantedGroups(const BatchRun& aRun)
{
  const size_t wantedGroups = aRun.m_submission->m_wantedGroups;
  const auto isDone = [&](size_t aItem) { return IsDone(aRun.m_items[aItem]); };
  if (wantedGroups == 0 || CountGroupsIf(aRun, isDone) < wantedGroups) {
    return false;
  }
  std::set<std::string_view> waiting;
  for (const ItemResult& result : aRun.m_pendingResults) {
    waiting.insert(result.m_item.m_value);
  }
  const auto isCommitted = [&](size_t aItem) {
    const std::string& id = aRun.m_submission->m_items[aItem].m_id.m_value;
    return isDone(aItem) && !waiting.contains(id);
  };
  return CountGroupsIf(aRun, isCommitted) < wantedGroups;
}

size_t
GetTextSize(const ItemResult& aResult)
{
  const auto* completed = std::get_if<Completed>(&aResult.m_outcome);
  return completed == nullptr ? 0 : completed->m_text.size();
}

/// Returns an upper bound of the size of the text as a JSON string.
size_t
EncodedTextBytes(std::string_view aText)
{
  size_t bytes = 2;
  for (const char character : aText) {
    if (character == '\n' || character == '"' || character == '\\') {
      bytes += 2;
    } else if (static_cast<unsigned char>(character) < kFirstPrintable) {
      bytes += kEncodedControlBytes;
    } else {
      bytes += 1;
    }
  }
  return bytes;
}

/// Returns an upper bound of the size of the result in a page.
size_t
EncodedBytes(const ItemResult& aResult)
{
  size_t bytes =
    kResultOverheadBytes + EncodedTextBytes(aResult.m_item.m_value);
  if (const auto* completed = std::get_if<Completed>(&aResult.m_outcome)) {
    bytes += EncodedTextBytes(completed->m_text);
    bytes += EncodedTextBytes(completed->m_score);
    bytes += kEncodedVersionBytes * completed->m_versions.size();
  }
  return bytes;
}

bool
AreAllItemsDone(const BatchRun& aRun)
{
  return std::ranges::all_of(aRun.m_items, IsDone);
}

} // namespace

void
AdoptChunk(BatchRun& aRun, ResultChunk aChunk)
{
  for (ItemResult& result : aChunk.m_results) {
    const auto index = aRun.m_itemIndexes.find(result.m_item.m_value);
    if (index != aRun.m_itemIndexes.end()) {
      aRun.m_items[index->second].m_phase = ItemDone{};
    }
    aRun.m_durableResults.push_back(std::move(result));
  }
  aRun.m_nextChunk = aChunk.m_number + 1;
}

std::span<const ItemResult>
SelectPage(const BatchRun& aRun, size_t aFirstPosition)
{
  const std::span<const ItemResult> results(aRun.m_durableResults);
  if (aFirstPosition >= results.size()) {
    return {};
  }
  const std::span<const ItemResult> candidates =
    results.subspan(aFirstPosition);
  size_t count = 0;
  size_t bytes = 0;
  for (const ItemResult& result : candidates) {
    bytes += EncodedBytes(result);
    if (count > 0 && bytes > kMaxPageBytes) {
      break;
    }
    count += 1;
  }
  return candidates.first(count);
}

std::optional<ResultChunk>
StartNextChunk(BatchRun& aRun, core::Instant aNow)
{
  if (aRun.m_chunkInFlight || aRun.m_pendingResults.empty() || aRun.m_ended) {
    return std::nullopt;
  }
  const bool due = aRun.m_nextStoreAt <= aNow || AreAllItemsDone(aRun) ||
                   CompletesWantedGroups(aRun);
  if (!due) {
    return std::nullopt;
  }
  ResultChunk chunk;
  chunk.m_number = aRun.m_nextChunk;
  size_t bytes = 0;
  size_t count = 0;
  for (const ItemResult& result : aRun.m_pendingResults) {
    bytes += GetTextSize(result);
    if (count > 0 && (bytes > kMaxChunkBytes || count >= kMaxChunkResults)) {
      break;
    }
    count += 1;
  }
  const auto end =
    aRun.m_pendingResults.begin() + static_cast<std::ptrdiff_t>(count);
  chunk.m_results.assign(aRun.m_pendingResults.begin(), end);
  aRun.m_pendingResults.erase(aRun.m_pendingResults.begin(), end);
  aRun.m_nextStoreAt = aNow + aRun.m_policy.m_resultGatherTime;
  aRun.m_chunkInFlight = chunk;
  return chunk;
}

void
CommitChunk(BatchRun& aRun)
{
  if (!aRun.m_chunkInFlight) {
    return;
  }
  ResultChunk chunk = *std::move(aRun.m_chunkInFlight);
  aRun.m_chunkInFlight.reset();
  AdoptChunk(aRun, std::move(chunk));
}

void
ResolveChunkConflict(BatchRun& aRun, ResultChunk aFound, core::Instant aNow)
{
  if (!aRun.m_chunkInFlight) {
    return;
  }
  ResultChunk own = *std::move(aRun.m_chunkInFlight);
  aRun.m_chunkInFlight.reset();
  // The other owner's results are final. Our own results are kept only for
  // items that its chunk does not contain.
  std::set<std::string, std::less<>> found;
  for (const ItemResult& result : aFound.m_results) {
    found.insert(result.m_item.m_value);
  }
  AdoptChunk(aRun, std::move(aFound));
  aRun.m_pendingResults.insert(
    aRun.m_pendingResults.begin(), own.m_results.begin(), own.m_results.end());
  std::erase_if(aRun.m_pendingResults, [&found](const ItemResult& aResult) {
    return found.contains(aResult.m_item.m_value);
  });
  aRun.m_nextStoreAt = aNow;
}

bool
IsComplete(const BatchRun& aRun)
{
  return aRun.m_durableResults.size() >= aRun.m_items.size();
}

} // namespace heatherdeal::batches
