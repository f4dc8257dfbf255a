#include "batches/batchrun.h"

#include <algorithm>

#include "batches/decisions/itemstate.h"
#include "core/overloaded.h"

namespace heatherdeal::batches {

namespace {

// Delays before an item starts again. The delay after a refusal is short
// because another engine may be free; the engine that refused is excluded for
// longer.
constexpr core::Duration kAfterRefusal = std::chrono::milliseconds(20);
constexpr core::Duration kAfterBreak = std::chrono::milliseconds(60);
constexpr core::Duration kAfterFailure = std::chrono::milliseconds(100);
constexpr core::Duration kAfterOutdated = std::chrono::milliseconds(100);
constexpr core::Duration kAfterNoScore = std::chrono::milliseconds(150);

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
Decide(BatchRun& aRun,
       size_t aItem,
       std::variant<Completed, Lost> aOutcome,
       core::Instant aNow)
{
  aRun.m_items[aItem].m_phase = ItemDone{};
  if (aRun.m_ready.empty()) {
    aRun.m_storeFrom = aNow + aRun.m_policy.m_gather;
  }
  const ItemId& id = aRun.m_submission->m_items[aItem].m_id;
  aRun.m_ready.push_back({ id, std::move(aOutcome) });
}

void
Complete(BatchRun& aRun, size_t aItem, std::string aScore, core::Instant aNow)
{
  ItemState& item = aRun.m_items[aItem];
  Completed completed;
  completed.m_text = std::move(item.m_text);
  completed.m_versions = std::move(item.m_versions);
  completed.m_score = std::move(aScore);
  Decide(aRun, aItem, std::move(completed), aNow);
}

/// Appends the new events of a report to the text.
void
Append(ItemState& aItem, const RunReport& aReport)
{
  if (aReport.m_lastEvent <= aItem.m_events) {
    return;
  }
  if (aItem.m_events > 0) {
    aItem.m_text += '\n';
  }
  aItem.m_text += aReport.m_text;
  aItem.m_events = aReport.m_lastEvent;
  AddVersions(aItem.m_versions, aReport.m_versions);
}

void
Retry(ItemState& aItem, core::Instant aFrom)
{
  aItem.m_phase = ItemWaiting{ aFrom };
}

void
OnEnding(BatchRun& aRun, size_t aItem, const RunCompleted&, core::Instant aNow)
{
  ItemState& item = aRun.m_items[aItem];
  // A text without any event is not usable, even if its stream ended normally.
  if (item.m_events == 0 || !VersionsFit(aRun, item)) {
    StartOver(item);
    Retry(item, aNow + kAfterOutdated);
    return;
  }
  if (aRun.m_submission->m_items[aItem].m_reward) {
    item.m_phase = ItemUnscored{ aNow };
    return;
  }
  Complete(aRun, aItem, "", aNow);
}

void
OnEnding(BatchRun& aRun, size_t aItem, const RunBroken&, core::Instant aNow)
{
  ItemState& item = aRun.m_items[aItem];
  // The next engine may serve another version, so a single-version text cannot
  // be resumed.
  if (aRun.m_policy.m_singleVersion || !VersionsFit(aRun, item)) {
    StartOver(item);
  }
  Retry(item, aNow + kAfterBreak);
}

void
OnEnding(BatchRun& aRun, size_t aItem, const RunRefused&, core::Instant aNow)
{
  Retry(aRun.m_items[aItem], aNow + kAfterRefusal);
}

void
OnEnding(BatchRun& aRun, size_t aItem, const RunFailed&, core::Instant aNow)
{
  ItemState& item = aRun.m_items[aItem];
  item.m_failedRuns += 1;
  if (item.m_failedRuns >= aRun.m_policy.m_attempts) {
    Decide(aRun, aItem, Lost{}, aNow);
    return;
  }
  Retry(item, aNow + kAfterFailure);
}

void
OnEnding(BatchRun& aRun, size_t aItem, const RunImpossible&, core::Instant aNow)
{
  Decide(aRun, aItem, Lost{}, aNow);
}

void
OnEnding(BatchRun& aRun, size_t aItem, const RunOutdated&, core::Instant aNow)
{
  ItemState& item = aRun.m_items[aItem];
  StartOver(item);
  Retry(item, aNow + kAfterOutdated);
}

/// Sorts the items by expected length, longest first, because the last texts to
/// finish determine when a training step ends.
std::vector<size_t>
OrderOf(const Submission& aSubmission)
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
MeanExpectedTokens(const Submission& aSubmission)
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
StartsFrom(const BatchRun& aRun, size_t aItem)
{
  const auto* waiting = std::get_if<ItemWaiting>(&aRun.m_items[aItem].m_phase);
  if (aRun.m_ended || waiting == nullptr) {
    return core::Instant::max();
  }
  return IsLong(aRun, aItem)
           ? waiting->m_from
           : std::max(waiting->m_from, aRun.m_policy.m_shortFrom);
}

bool
MayStart(const BatchRun& aRun, size_t aItem, core::Instant aNow)
{
  return StartsFrom(aRun, aItem) <= aNow;
}

} // namespace

BatchRun
MakeRun(std::shared_ptr<const Submission> aSubmission, BatchPolicy aPolicy)
{
  BatchRun run;
  run.m_policy = aPolicy;
  run.m_items.resize(aSubmission->m_items.size());
  for (size_t i = 0; i < aSubmission->m_items.size(); ++i) {
    run.m_indexes.emplace(aSubmission->m_items[i].m_id.m_value, i);
    run.m_groups[aSubmission->m_items[i].m_group].push_back(i);
  }
  run.m_order = OrderOf(*aSubmission);
  run.m_meanExpectedTokens = MeanExpectedTokens(*aSubmission);
  run.m_submission = std::move(aSubmission);
  return run;
}

bool
IsLong(const BatchRun& aRun, size_t aItem)
{
  return aRun.m_submission->m_items[aItem].m_expectedTokens >
         aRun.m_meanExpectedTokens;
}

std::optional<size_t>
NextToRun(const BatchRun& aRun, core::Instant aNow)
{
  const auto next = std::ranges::find_if(
    aRun.m_order, [&](size_t aIndex) { return MayStart(aRun, aIndex, aNow); });
  return next == aRun.m_order.end() ? std::nullopt : std::optional(*next);
}

std::optional<size_t>
LastToRun(const BatchRun& aRun, core::Instant aNow)
{
  const auto last =
    std::find_if(aRun.m_order.rbegin(),
                 aRun.m_order.rend(),
                 [&](size_t aIndex) { return MayStart(aRun, aIndex, aNow); });
  return last == aRun.m_order.rend() ? std::nullopt : std::optional(*last);
}

uint64_t
StartRun(BatchRun& aRun, size_t aItem, const core::UpstreamId& aEngine)
{
  aRun.m_runs += 1;
  ItemState& item = aRun.m_items[aItem];
  item.m_phase = ItemRunning{ aRun.m_runs };
  item.m_lastEngine = aEngine;
  aRun.m_groupEngines[aRun.m_submission->m_items[aItem].m_group] = aEngine;
  return aRun.m_runs;
}

void
EndRun(BatchRun& aRun,
       size_t aItem,
       uint64_t aNumber,
       RunReport aReport,
       core::Instant aNow)
{
  ItemState& item = aRun.m_items[aItem];
  const auto* running = std::get_if<ItemRunning>(&item.m_phase);
  if (running == nullptr || running->m_run != aNumber || aRun.m_ended) {
    return;
  }
  Append(item, aReport);
  std::visit([&](const auto& aEnding) { OnEnding(aRun, aItem, aEnding, aNow); },
             aReport.m_ending);
}

void
ExtendText(BatchRun& aRun,
           size_t aItem,
           uint64_t aNumber,
           const RunReport& aPart)
{
  ItemState& item = aRun.m_items[aItem];
  const auto* running = std::get_if<ItemRunning>(&item.m_phase);
  if (running != nullptr && running->m_run == aNumber && !aRun.m_ended) {
    Append(item, aPart);
  }
}

std::optional<size_t>
NextToScore(const BatchRun& aRun, core::Instant aNow)
{
  if (aRun.m_ended) {
    return std::nullopt;
  }
  for (const size_t index : aRun.m_order) {
    const auto* unscored =
      std::get_if<ItemUnscored>(&aRun.m_items[index].m_phase);
    if (unscored != nullptr && unscored->m_from <= aNow) {
      return index;
    }
  }
  return std::nullopt;
}

uint64_t
StartScore(BatchRun& aRun, size_t aItem)
{
  aRun.m_runs += 1;
  aRun.m_items[aItem].m_phase = ItemScoring{ aRun.m_runs };
  return aRun.m_runs;
}

void
EndScore(BatchRun& aRun,
         size_t aItem,
         uint64_t aNumber,
         const ScoreEnding& aEnding,
         uint32_t aAttempts,
         core::Instant aNow)
{
  ItemState& item = aRun.m_items[aItem];
  const auto* scoring = std::get_if<ItemScoring>(&item.m_phase);
  if (scoring == nullptr || scoring->m_run != aNumber || aRun.m_ended) {
    return;
  }
  std::visit(
    core::Overloaded{ [&](const Scored& aScored) {
                       Complete(aRun, aItem, aScored.m_proof, aNow);
                     },
                      [&](const ScoreFailed&) {
                        item.m_failedScores += 1;
                        const uint32_t limit =
                          std::max(aAttempts, aRun.m_policy.m_attempts);
                        if (item.m_failedScores >= limit) {
                          Decide(aRun, aItem, Lost{}, aNow);
                          return;
                        }
                        item.m_phase = ItemUnscored{ aNow + kAfterFailure };
                      },
                      [&](const ScoreUnavailable&) {
                        item.m_phase = ItemUnscored{ aNow + kAfterNoScore };
                      } },
    aEnding);
}

void
GiveUpLate(BatchRun& aRun, core::Instant aNow)
{
  if (aNow < aRun.m_policy.m_giveUpAt || aRun.m_ended) {
    return;
  }
  for (size_t i = 0; i < aRun.m_items.size(); ++i) {
    if (!IsDone(aRun.m_items[i])) {
      Decide(aRun, i, Lost{}, aNow);
    }
  }
}

void
EndBatch(BatchRun& aRun)
{
  aRun.m_ended = true;
}

core::Instant
NextDeadline(const BatchRun& aRun, core::Instant aNow)
{
  if (aRun.m_ended || IsComplete(aRun)) {
    return core::Instant::max();
  }
  core::Instant next = aRun.m_policy.m_giveUpAt;
  if (!aRun.m_ready.empty() && !aRun.m_writing) {
    next = std::min(next, aRun.m_storeFrom);
  }
  for (size_t i = 0; i < aRun.m_items.size(); ++i) {
    const core::Instant from =
      std::visit(core::Overloaded{
                   [&](const ItemWaiting&) { return StartsFrom(aRun, i); },
                   [](const ItemUnscored& aPhase) { return aPhase.m_from; },
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
