#pragma once

#include <map>
#include <memory>
#include <set>
#include <span>

#include "batches/batch.h"
#include "batches/serviceturns.h"

namespace heatherdeal::batches {

/// Limits and intervals of a batch; some are set by its route.
struct BatchPolicy
{
  /// The number of failed runs after which an item is lost.
  uint32_t m_maxAttempts = 3;
  /// True if all tokens of a text must come from one weight version.
  bool m_singleVersion = false;
  /// The time at which all unfinished items are lost.
  core::Instant m_itemDeadline{};
  /// How long results are collected before they are stored as one chunk.
  core::Duration m_resultGatherTime = std::chrono::milliseconds(200);
  /// The minimum time between two checkpoints.
  core::Duration m_checkpointInterval = std::chrono::milliseconds(900);
  /// The number of new events of a text that makes a checkpoint worthwhile.
  uint64_t m_minCheckpointEvents = 20;
  /// The time before which only items with long texts start.
  core::Instant m_shortItemsStartAt{};
};

/// The item waits for an engine and may start at m_notBefore at the earliest.
struct ItemWaiting
{
  core::Instant m_notBefore{};
};

/// An engine is generating the text.
struct ItemRunning
{
  uint64_t m_runNumber = 0;
};

/// The text is complete; scoring may start at m_notBefore at the earliest.
struct ItemAwaitingScore
{
  core::Instant m_notBefore{};
};

/// A scoring request is in flight.
struct ItemScoring
{
  uint64_t m_runNumber = 0;
};

/// No engine has made a text that a result can hold. The item starts no more,
/// and is lost at the item deadline of the batch.
struct ItemUnusable
{};

/// The result is final, but possibly not stored yet.
struct ItemDone
{};

using ItemPhase = std::variant<ItemWaiting,
                               ItemRunning,
                               ItemAwaitingScore,
                               ItemScoring,
                               ItemUnusable,
                               ItemDone>;

/// The progress of one item.
struct ItemState
{
  ItemPhase m_phase = ItemWaiting{};
  std::string m_text;
  /// The id of the last event of the text, which equals the number of its
  /// events; 0 if there is none yet.
  uint64_t m_eventCount = 0;
  std::vector<core::WeightVersion> m_versions;
  /// True if the last run ended after the last event of the text without saying
  /// whether the text is complete.
  bool m_mayBeComplete = false;
  /// The engine whose run then found nothing to add, without saying so either;
  /// empty if there is none. It may have crashed at that moment.
  core::UpstreamId m_emptyRunEngine;
  /// The number of events that are in a stored checkpoint.
  uint64_t m_checkpointedEvents = 0;
  uint32_t m_failedRuns = 0;
  /// The number of runs whose text no result can hold.
  uint32_t m_unusableRuns = 0;
  uint32_t m_failedScores = 0;
  /// The engine that ran the item last; a retry prefers another one.
  core::UpstreamId m_lastEngine;
  /// The software that generated the text. Only engines that run it can
  /// continue the text.
  core::Software m_software;
  /// When the text is discarded unless an engine has continued it; Instant{}
  /// while that is not decided.
  core::Instant m_resumeUntil{};
};

/// Results that are stored as one object. The positions of results follow from
/// the order of the chunk numbers.
struct ResultChunk
{
  /// The number of the chunk; chunks of a batch are numbered from 0.
  uint64_t m_number = 0;
  std::vector<ItemResult> m_results;
};

/// A text that is not complete yet.
struct PartialText
{
  ItemId m_item;
  std::string m_text;
  /// The id of the last event that the text holds.
  uint64_t m_lastEvent = 0;
  std::vector<core::WeightVersion> m_versions;
  /// The software that generated the text; nothing if that is not recorded.
  std::optional<core::Software> m_software;
};

/// The unfinished texts of a batch, so that the next owner can resume them.
struct Checkpoint
{
  std::vector<PartialText> m_texts;
};

/// The state of one batch on the host that owns it.
struct BatchRun
{
  std::shared_ptr<const Submission> m_submission;
  BatchPolicy m_policy;
  std::vector<ItemState> m_items;
  /// Item indexes by item id.
  std::map<std::string, size_t, std::less<>> m_itemIndexes;
  /// Item indexes by group.
  std::map<std::string, std::vector<size_t>, std::less<>> m_groupItems;
  /// Item indexes in the order in which the items should start.
  std::vector<size_t> m_startOrder;
  uint32_t m_meanExpectedTokens = 0;
  /// The engine that processed a group's prompt last, by group; it may still
  /// have the prompt cached.
  std::map<std::string, core::UpstreamId> m_groupEngines;
  /// Durable results, by position. Only these are shown to the trainer.
  std::vector<ItemResult> m_durableResults;
  /// Final results that wait to be written.
  std::vector<ItemResult> m_pendingResults;
  /// The time at which the waiting results are due to be written.
  core::Instant m_nextStoreAt{};
  /// The chunk whose write is in flight.
  std::optional<ResultChunk> m_chunkInFlight;
  /// The number of the next chunk.
  uint64_t m_nextChunk = 0;
  /// The earliest time of the next checkpoint; Instant::max() while a
  /// checkpoint write is in flight.
  core::Instant m_nextCheckpointAt{};
  /// Which service of the route starts the next item.
  ServiceTurns m_serviceTurns;
  /// The number of the last run or scoring request; numbers are never reused.
  uint64_t m_lastRunNumber = 0;
  /// True once the trainer has ended the batch.
  bool m_ended = false;
};

/// The stream ended normally.
struct RunCompleted
{};

/// The stream was interrupted; the text read so far can be resumed.
struct RunInterrupted
{};

/// The stream ended with its connection after a complete event, or before the
/// first one. Whether the text is complete shows when further runs continue it.
struct RunEndUnconfirmed
{
  /// True if the run brought no event.
  bool m_isEmpty = false;
};

/// The engine sent more than a text may hold, or bytes that are not UTF-8.
struct RunUnusable
{};

/// This host had no memory for more of the text.
struct RunOverBudget
{};

/// The engine did not accept the request.
struct RunRefused
{};

/// The engine responded that the run failed.
struct RunFailed
{};

/// The engine responded that it can never process the item.
struct RunUnprocessable
{};

/// The engine serves an older weight version than the batch allows.
struct RunOutdatedWeights
{};

using RunOutcome = std::variant<RunCompleted,
                                RunInterrupted,
                                RunEndUnconfirmed,
                                RunUnusable,
                                RunOverBudget,
                                RunRefused,
                                RunFailed,
                                RunUnprocessable,
                                RunOutdatedWeights>;

/// The output of a run on an engine since the previous report.
struct RunReport
{
  RunOutcome m_outcome;
  /// The data of the new events, joined by line feeds.
  std::string m_text;
  /// The id of the last complete event of the run; 0 if there is none.
  uint64_t m_lastEvent = 0;
  std::vector<core::WeightVersion> m_versions;
};

/// The scorer returned a score.
struct Scored
{
  std::string m_proof;
};

/// The scorer responded that the request failed.
struct ScoreFailed
{};

/// No scorer responded, or with a status that says nothing of the item.
struct ScoreUnavailable
{};

using ScoreOutcome = std::variant<Scored, ScoreFailed, ScoreUnavailable>;

/// Makes the initial state of a batch, with every item waiting.
BatchRun
MakeBatchRun(std::shared_ptr<const Submission> aSubmission,
             BatchPolicy aPolicy);

/// Puts another policy into force, for example of a newer configuration. Texts
/// that are not results yet are generated again if it does not allow their
/// versions.
void
ApplyPolicy(BatchRun& aRun, const BatchPolicy& aPolicy, core::Instant aNow);

/// Adds a stored chunk to the durable results. Chunks must be added in the
/// order of their numbers.
void
AdoptChunk(BatchRun& aRun, ResultChunk aChunk);

/// True if the item's text is expected to be longer than the batch's mean, so
/// that it may delay the batch.
bool
IsLongItem(const BatchRun& aRun, size_t aItem);

/// Returns the first item in start order that may start now, if any.
std::optional<size_t>
FindNextItemToStart(const BatchRun& aRun, core::Instant aNow);

/// True if the item may start now.
bool
CanStart(const BatchRun& aRun, size_t aItem, core::Instant aNow);

/// Returns the number of items that may start now.
uint32_t
CountItemsToStart(const BatchRun& aRun, core::Instant aNow);

/// An engine and the software that it runs.
struct EngineIdentity
{
  core::UpstreamId m_id;
  core::Software m_software;
};

/// Starts a run of an item on an engine, which must be able to continue the
/// item's text. Returns the number of the run.
uint64_t
StartItemRun(BatchRun& aRun, size_t aItem, const EngineIdentity& aEngine);

/// Applies the final report of a run; ignored if the run is not the item's
/// current one.
void
FinishItemRun(BatchRun& aRun,
              size_t aItem,
              uint64_t aRunNumber,
              RunReport aReport,
              core::Instant aNow);

/// Applies a progress report of a run; ignored if the run is not the item's
/// current one.
void
AddPartialText(BatchRun& aRun,
               size_t aItem,
               uint64_t aRunNumber,
               const RunReport& aPart);

/// Returns the first item in start order whose scoring may start now, if any.
std::optional<size_t>
FindNextToScore(const BatchRun& aRun, core::Instant aNow);

/// Starts scoring an item. Returns the number of the scoring request.
uint64_t
StartItemScoring(BatchRun& aRun, size_t aItem);

/// Applies the outcome of a scoring request; ignored if the request is not the
/// item's current one. The item is lost after aMaxAttempts scorer failures, or
/// after the batch's own limit if that is higher.
void
FinishItemScoring(BatchRun& aRun,
                  size_t aItem,
                  uint64_t aRunNumber,
                  const ScoreOutcome& aOutcome,
                  uint32_t aMaxAttempts,
                  core::Instant aNow);

/// Marks all unfinished items as lost once the item deadline of the batch has
/// passed.
void
MarkOverdueItemsLost(BatchRun& aRun, core::Instant aNow);

/// Returns the durable results from a position onwards, as many as fit into one
/// page of at most 1 MB. Contains at least one result if there is one.
std::span<const ItemResult>
SelectPage(const BatchRun& aRun, size_t aFirstPosition);

/// Returns the chunk to write now, if one is due, and keeps it as the chunk in
/// flight until CommitChunk or ResolveChunkConflict is called.
std::optional<ResultChunk>
StartNextChunk(BatchRun& aRun, core::Instant aNow);

/// Adds the chunk in flight to the durable results.
void
CommitChunk(BatchRun& aRun);

/// Handles a conflict: another owner has stored aFound under the number of the
/// chunk in flight. Its results win; our results for other items are written
/// again.
void
ResolveChunkConflict(BatchRun& aRun, ResultChunk aFound, core::Instant aNow);

/// Returns the checkpoint to write now, if a text has grown enough since the
/// last one, and marks its write as in flight.
std::optional<Checkpoint>
StartNextCheckpoint(BatchRun& aRun, core::Instant aNow);

/// Handles the end of a checkpoint write; aStored tells whether it succeeded.
void
FinishCheckpoint(BatchRun& aRun,
                 const Checkpoint& aCheckpoint,
                 bool aStored,
                 core::Instant aNow);

/// Resumes the texts of an earlier owner that this batch may use. Returns their
/// number.
size_t
AdoptCheckpoint(BatchRun& aRun, Checkpoint aCheckpoint);

/// Marks the batch as ended: no item starts any more, and durable results stay.
void
MarkBatchEnded(BatchRun& aRun);

/// True if the result of every item is durable.
bool
IsComplete(const BatchRun& aRun);

/// Returns the next time at which work becomes due; Instant::max() if there is
/// none.
core::Instant
FindNextDeadline(const BatchRun& aRun, core::Instant aNow);

} // namespace heatherdeal::batches
