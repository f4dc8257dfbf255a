#include "batches/batchrun.h"

#include <algorithm>

#include "batches/decisions/itemstate.h"
#include "core/overloaded.h"

namespace heatherdeal::batches {

namespace {

// Delays before an item starts again. The delay after a refusal is short
// because another engine may be free; the engine that refused is excluded for
// longer.
constexpr core::Duration kRefusalRetryDelay = std::chrono::milliseconds(20);
constexpr core::Duration kInterruptionRetryDelay =
  std::chrono::milliseconds(60);
constexpr core::Duration kFailureRetryDelay = std::chrono::milliseconds(100);
constexpr core::Duration kOutdatedRetryDelay = std::chrono::milliseconds(100);
// Other texts have to end before there is memory again.
constexpr core::Duration kOverBudgetRetryDelay = std::chrono::seconds(1);
constexpr core::Duration kNoScoreRetryDelay = std::chrono::milliseconds(150);

void
AddVersions(std::vector<core::WeightVersion>& aInto,
            std::span<const core::WeightVersion> aVersions)
{
  for (const core::WeightVersion version : aVersions) {
    if (std::ranges::find(aInto, version) == aInto.end()) {
      aInto.push_back(version);
    }
  }
}

void
RecordResult(BatchRun& aRun,
             size_t aItem,
             std::variant<Completed, Lost> aResult,
             core::Instant aNow)
{
  aRun.m_items[aItem].m_phase = ItemDone{};
  if (aRun.m_pendingResults.empty()) {
    aRun.m_nextStoreAt = aNow + aRun.m_policy.m_resultGatherTime;
  }
  const ItemId& id = aRun.m_submission->m_items[aItem].m_id;
  aRun.m_pendingResults.push_back({ id, std::move(aResult) });
}

void
CompleteItem(BatchRun& aRun,
             size_t aItem,
             std::string aScore,
             core::Instant aNow)
{
  ItemState& item = aRun.m_items[aItem];
  Completed completed;
  completed.m_text = std::move(item.m_text);
  completed.m_versions = std::move(item.m_versions);
  completed.m_score = std::move(aScore);
  RecordResult(aRun, aItem, std::move(completed), aNow);
}

/// Appends the new events of a report to the text.
void
AppendReport(ItemState& aItem, const RunReport& aReport)
{
  if (aReport.m_lastEvent <= aItem.m_eventCount) {
    return;
  }
  if (aItem.m_eventCount > 0) {
    aItem.m_text += '\n';
  }
  aItem.m_text += aReport.m_text;
  aItem.m_eventCount = aReport.m_lastEvent;
  aItem.m_resumeUntil = {};
  aItem.m_mayBeComplete = false;
  aItem.m_emptyRunEngine = {};
  AddVersions(aItem.m_versions, aReport.m_versions);
}

void
RetryItem(ItemState& aItem, core::Instant aNotBefore)
{
  aItem.m_phase = ItemWaiting{ aNotBefore };
}

/// Discards the text and generates it again.
void
RestartItem(ItemState& aItem, core::Instant aNotBefore)
{
  ResetText(aItem);
  RetryItem(aItem, aNotBefore);
}

void
HandleOutcome(BatchRun& aRun,
              size_t aItem,
              const RunCompleted&,
              core::Instant aNow)
{
  ItemState& item = aRun.m_items[aItem];
  // A text without any event is not usable, even if its stream ended normally.
  if (item.m_eventCount == 0 || !HasUsableVersions(aRun, item)) {
    RestartItem(item, aNow + kOutdatedRetryDelay);
    return;
  }
  if (aRun.m_submission->m_items[aItem].m_reward) {
    item.m_phase = ItemAwaitingScore{ aNow };
    return;
  }
  CompleteItem(aRun, aItem, "", aNow);
}

void
HandleOutcome(BatchRun& aRun,
              size_t aItem,
              const RunInterrupted&,
              core::Instant aNow)
{
  ItemState& item = aRun.m_items[aItem];
  item.m_emptyRunEngine = {};
  // The next engine may serve another version, so a single-version text cannot
  // be resumed.
  if (aRun.m_policy.m_singleVersion || !HasUsableVersions(aRun, item)) {
    ResetText(item);
  }
  RetryItem(item, aNow + kInterruptionRetryDelay);
}

/// True if the text is complete, although no run has said so: two runs in a row
/// on one engine have found nothing to add. The engine has accepted the second
/// one after the first had ended, so that it was no crash that ended the first.
bool
IsConfirmedByEmptyRuns(const ItemState& aItem, const RunEndUnconfirmed& aEnd)
{
  const bool hasEmptyRun = !aItem.m_emptyRunEngine.m_value.empty();
  return aEnd.m_isEmpty && hasEmptyRun &&
         aItem.m_emptyRunEngine == aItem.m_lastEngine;
}

void
HandleOutcome(BatchRun& aRun,
              size_t aItem,
              const RunEndUnconfirmed& aEnd,
              core::Instant aNow)
{
  ItemState& item = aRun.m_items[aItem];
  if (IsConfirmedByEmptyRuns(item, aEnd)) {
    HandleOutcome(aRun, aItem, RunCompleted{}, aNow);
    return;
  }
  const bool isEmptyRun = aEnd.m_isEmpty && item.m_mayBeComplete;
  item.m_emptyRunEngine = isEmptyRun ? item.m_lastEngine : core::UpstreamId{};
  // A single-version text is kept too: if it is complete, the next runs add
  // nothing to it.
  item.m_mayBeComplete = HasText(item);
  if (!HasUsableVersions(aRun, item)) {
    ResetText(item);
  }
  RetryItem(item, aNow + kInterruptionRetryDelay);
}

void
HandleOutcome(BatchRun& aRun,
              size_t aItem,
              const RunUnusable&,
              core::Instant aNow)
{
  ItemState& item = aRun.m_items[aItem];
  item.m_unusableRuns += 1;
  RestartItem(item, aNow + kFailureRetryDelay);
  // Another engine may make a text that is usable. An item of which none does
  // must not keep engines busy for the rest of the batch.
  if (item.m_unusableRuns >= aRun.m_policy.m_maxAttempts) {
    item.m_phase = ItemUnusable{};
  }
}

void
HandleOutcome(BatchRun& aRun,
              size_t aItem,
              const RunOverBudget&,
              core::Instant aNow)
{
  // Without its text, the item leaves its memory to those that are ahead.
  RestartItem(aRun.m_items[aItem], aNow + kOverBudgetRetryDelay);
}

void
HandleOutcome(BatchRun& aRun,
              size_t aItem,
              const RunRefused&,
              core::Instant aNow)
{
  RetryItem(aRun.m_items[aItem], aNow + kRefusalRetryDelay);
}

void
HandleOutcome(BatchRun& aRun,
              size_t aItem,
              const RunFailed&,
              core::Instant aNow)
{
  ItemState& item = aRun.m_items[aItem];
  item.m_failedRuns += 1;
  if (item.m_failedRuns >= aRun.m_policy.m_maxAttempts) {
    RecordResult(aRun, aItem, Lost{}, aNow);
    return;
  }
  RetryItem(item, aNow + kFailureRetryDelay);
}

void
HandleOutcome(BatchRun& aRun,
              size_t aItem,
              const RunUnprocessable&,
              core::Instant aNow)
{
  RecordResult(aRun, aItem, Lost{}, aNow);
}

void
HandleOutcome(BatchRun& aRun,
              size_t aItem,
              const RunOutdatedWeights&,
              core::Instant aNow)
{
  RestartItem(aRun.m_items[aItem], aNow + kOutdatedRetryDelay);
}

/// Sorts the items by expected length, longest first, because the last texts to
/// finish determine when a training step ends.
std::vector<size_t>
MakeStartOrder(const Submission& aSubmission)
{
  std::vector<size_t> order(aSubmission.m_items.size());
  for (size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  std::ranges::stable_sort(order, std::ranges::greater(), [&](size_t aIndex) {
    return aSubmission.m_items[aIndex].m_expectedTokens;
  });
  return order;
}

uint32_t
ComputeMeanExpectedTokens(const Submission& aSubmission)
{
  uint64_t sum = 0;
  for (const BatchItem& item : aSubmission.m_items) {
    sum += item.m_expectedTokens;
  }
  const size_t count = std::max<size_t>(1, aSubmission.m_items.size());
  return static_cast<uint32_t>(sum / count);
}

/// Returns the earliest start time of an item; Instant::max() if the item is
/// not waiting.
core::Instant
EarliestStart(const BatchRun& aRun, size_t aItem)
{
  const auto* waiting = std::get_if<ItemWaiting>(&aRun.m_items[aItem].m_phase);
  if (aRun.m_ended || waiting == nullptr) {
    return core::Instant::max();
  }
  return IsLongItem(aRun, aItem)
           ? waiting->m_notBefore
           : std::max(waiting->m_notBefore, aRun.m_policy.m_shortItemsStartAt);
}

} // namespace

bool
CanStart(const BatchRun& aRun, size_t aItem, core::Instant aNow)
{
  return EarliestStart(aRun, aItem) <= aNow;
}

BatchRun
MakeBatchRun(std::shared_ptr<const Submission> aSubmission, BatchPolicy aPolicy)
{
  BatchRun run;
  run.m_policy = aPolicy;
  run.m_items.resize(aSubmission->m_items.size());
  for (size_t i = 0; i < aSubmission->m_items.size(); ++i) {
    run.m_itemIndexes.emplace(aSubmission->m_items[i].m_id.m_value, i);
    run.m_groupItems[aSubmission->m_items[i].m_group].push_back(i);
  }
  run.m_startOrder = MakeStartOrder(*aSubmission);
  run.m_meanExpectedTokens = ComputeMeanExpectedTokens(*aSubmission);
  run.m_submission = std::move(aSubmission);
  return run;
}

void
ApplyPolicy(BatchRun& aRun, const BatchPolicy& aPolicy, core::Instant aNow)
{
  aRun.m_policy = aPolicy;
  for (ItemState& item : aRun.m_items) {
    // A run in flight is judged when it ends.
    const bool isFinalOrRunning =
      IsDone(item) || std::holds_alternative<ItemRunning>(item.m_phase);
    if (isFinalOrRunning || HasUsableVersions(aRun, item)) {
      continue;
    }
    RestartItem(item, aNow);
  }
}

bool
IsLongItem(const BatchRun& aRun, size_t aItem)
{
  return aRun.m_submission->m_items[aItem].m_expectedTokens >
         aRun.m_meanExpectedTokens;
}

std::optional<size_t>
FindNextItemToStart(const BatchRun& aRun, core::Instant aNow)
{
  const auto next = std::ranges::find_if(aRun.m_startOrder, [&](size_t aIndex) {
    return CanStart(aRun, aIndex, aNow);
  });
  return next == aRun.m_startOrder.end() ? std::nullopt : std::optional(*next);
}

uint32_t
CountItemsToStart(const BatchRun& aRun, core::Instant aNow)
{
  return static_cast<uint32_t>(
    std::ranges::count_if(aRun.m_startOrder, [&](size_t aIndex) {
      return CanStart(aRun, aIndex, aNow);
    }));
}

uint64_t
StartItemRun(BatchRun& aRun, size_t aItem, const EngineIdentity& aEngine)
{
  aRun.m_lastRunNumber += 1;
  ItemState& item = aRun.m_items[aItem];
  item.m_phase = ItemRunning{ aRun.m_lastRunNumber };
  item.m_lastEngine = aEngine.m_id;
  item.m_software = aEngine.m_software;
  aRun.m_groupEngines[aRun.m_submission->m_items[aItem].m_group] = aEngine.m_id;
  return aRun.m_lastRunNumber;
}

void
FinishItemRun(BatchRun& aRun,
              size_t aItem,
              uint64_t aRunNumber,
              RunReport aReport,
              core::Instant aNow)
{
  ItemState& item = aRun.m_items[aItem];
  const auto* running = std::get_if<ItemRunning>(&item.m_phase);
  if (running == nullptr || running->m_runNumber != aRunNumber ||
      aRun.m_ended) {
    return;
  }
  AppendReport(item, aReport);
  std::visit(
    [&](const auto& aOutcome) { HandleOutcome(aRun, aItem, aOutcome, aNow); },
    aReport.m_outcome);
}

void
AddPartialText(BatchRun& aRun,
               size_t aItem,
               uint64_t aRunNumber,
               const RunReport& aPart)
{
  ItemState& item = aRun.m_items[aItem];
  const auto* running = std::get_if<ItemRunning>(&item.m_phase);
  if (running != nullptr && running->m_runNumber == aRunNumber &&
      !aRun.m_ended) {
    AppendReport(item, aPart);
  }
}

std::optional<size_t>
FindNextToScore(const BatchRun& aRun, core::Instant aNow)
{
  if (aRun.m_ended) {
    return std::nullopt;
  }
  for (const size_t index : aRun.m_startOrder) {
    const auto* unscored =
      std::get_if<ItemAwaitingScore>(&aRun.m_items[index].m_phase);
    if (unscored != nullptr && unscored->m_notBefore <= aNow) {
      return index;
    }
  }
  return std::nullopt;
}

uint64_t
StartItemScoring(BatchRun& aRun, size_t aItem)
{
  aRun.m_lastRunNumber += 1;
  aRun.m_items[aItem].m_phase = ItemScoring{ aRun.m_lastRunNumber };
  return aRun.m_lastRunNumber;
}

void
FinishItemScoring(BatchRun& aRun,
                  size_t aItem,
                  uint64_t aRunNumber,
                  const ScoreOutcome& aOutcome,
                  uint32_t aMaxAttempts,
                  core::Instant aNow)
{
  ItemState& item = aRun.m_items[aItem];
  const auto* scoring = std::get_if<ItemScoring>(&item.m_phase);
  if (scoring == nullptr || scoring->m_runNumber != aRunNumber ||
      aRun.m_ended) {
    return;
  }
  std::visit(core::Overloaded{
               [&](const Scored& aScored) {
                 CompleteItem(aRun, aItem, aScored.m_proof, aNow);
               },
               [&](const ScoreFailed&) {
                 item.m_failedScores += 1;
                 const uint32_t limit =
                   std::max(aMaxAttempts, aRun.m_policy.m_maxAttempts);
                 if (item.m_failedScores >= limit) {
                   RecordResult(aRun, aItem, Lost{}, aNow);
                   return;
                 }
                 item.m_phase = ItemAwaitingScore{ aNow + kFailureRetryDelay };
               },
               [&](const ScoreUnavailable&) {
                 item.m_phase = ItemAwaitingScore{ aNow + kNoScoreRetryDelay };
               } },
             aOutcome);
}

void
MarkOverdueItemsLost(BatchRun& aRun, core::Instant aNow)
{
  if (aNow < aRun.m_policy.m_itemDeadline || aRun.m_ended) {
    return;
  }
  for (size_t i = 0; i < aRun.m_items.size(); ++i) {
    if (!IsDone(aRun.m_items[i])) {
      RecordResult(aRun, i, Lost{}, aNow);
    }
  }
}

void
MarkBatchEnded(BatchRun& aRun)
{
  aRun.m_ended = true;
}

core::Instant
FindNextDeadline(const BatchRun& aRun, core::Instant aNow)
{
  if (aRun.m_ended || IsComplete(aRun)) {
    return core::Instant::max();
  }
  core::Instant next = aRun.m_policy.m_itemDeadline;
  if (!aRun.m_pendingResults.empty() && !aRun.m_chunkInFlight) {
    next = std::min(next, aRun.m_nextStoreAt);
  }
  for (size_t i = 0; i < aRun.m_items.size(); ++i) {
    const core::Instant from = std::visit(
      core::Overloaded{
        [&](const ItemWaiting&) { return EarliestStart(aRun, i); },
        [](const ItemAwaitingScore& aPhase) { return aPhase.m_notBefore; },
        [](const auto&) { return core::Instant::max(); } },
      aRun.m_items[i].m_phase);
    // An item whose start time has passed waits for an engine, not for a time.
    if (from > aNow) {
      next = std::min(next, from);
    }
  }
  return next;
}

} // namespace heatherdeal::batches
