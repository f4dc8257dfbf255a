#pragma once

#include <map>
#include <memory>
#include <set>
#include <span>

#include "batches/batch.h"

namespace heatherdeal::batches {

/// Limits of a batch, from its route.
struct BatchPolicy
{
  /// Failed runs after which an item is given up.
  uint32_t m_attempts = 3;
  bool m_singleVersion = false;
  /// Items that are not done by then are given up.
  core::Instant m_giveUpAt{};
  /// How long results are gathered before they are stored together.
  core::Duration m_gather = std::chrono::milliseconds(200);
  /// Time between checkpoints, and the events of a text that are worth one.
  core::Duration m_checkpointInterval = std::chrono::milliseconds(900);
  uint64_t m_checkpointEvents = 20;
  /// Before that only long texts start.
  core::Instant m_shortFrom{};
};

/// Waits for an engine, from m_from on.
struct ItemWaiting
{
  core::Instant m_from{};
};

/// An engine generates the text.
struct ItemRunning
{
  uint64_t m_run = 0;
};

/// The text is whole and waits for its score, from m_from on.
struct ItemUnscored
{
  core::Instant m_from{};
};

struct ItemScoring
{
  uint64_t m_run = 0;
};

/// The result is decided; it may not be stored yet.
struct ItemDone
{};

using ItemPhase =
  std::variant<ItemWaiting, ItemRunning, ItemUnscored, ItemScoring, ItemDone>;

struct ItemState
{
  ItemPhase m_phase = ItemWaiting{};
  std::string m_text;
  /// Last event of the text; 0: none yet.
  uint64_t m_events = 0;
  std::vector<core::WeightVersion> m_versions;
  /// Last event that a checkpoint holds.
  uint64_t m_savedEvents = 0;
  uint32_t m_failedRuns = 0;
  uint32_t m_failedScores = 0;
  /// The engine that ran it last, to try another one first.
  core::UpstreamId m_lastEngine;
};

/// Results stored under one number; their positions follow from it.
struct ResultChunk
{
  uint64_t m_number = 0;
  std::vector<ItemResult> m_results;
};

/// A text that is not whole yet.
struct PartialText
{
  ItemId m_item;
  std::string m_text;
  uint64_t m_lastEvent = 0;
  std::vector<core::WeightVersion> m_versions;
};

/// The long texts of a batch as far as they are, for its next owner.
struct Checkpoint
{
  std::vector<PartialText> m_texts;
};

/// One batch as its owner runs it.
struct BatchRun
{
  std::shared_ptr<const Submission> m_submission;
  BatchPolicy m_policy;
  std::vector<ItemState> m_items;
  std::map<std::string, size_t, std::less<>> m_indexes;
  /// Items of each group.
  std::map<std::string, std::vector<size_t>, std::less<>> m_groups;
  /// Items in the order in which they should start.
  std::vector<size_t> m_order;
  uint32_t m_meanExpectedTokens = 0;
  /// The engine on which a group's prompt was read last.
  std::map<std::string, core::UpstreamId> m_groupEngines;
  /// Durable results by position.
  std::vector<ItemResult> m_listed;
  /// Decided results that are not durable yet.
  std::vector<ItemResult> m_ready;
  core::Instant m_storeFrom{};
  /// The chunk whose write is under way.
  std::optional<ResultChunk> m_writing;
  uint64_t m_nextChunk = 0;
  /// The next checkpoint is not taken before; max: one is under way.
  core::Instant m_checkpointFrom{};
  uint64_t m_runs = 0;
  bool m_ended = false;
};

/// The stream came to its end.
struct RunCompleted
{};

/// The stream broke; what was read may be continued.
struct RunBroken
{};

/// The engine did not take the request.
struct RunRefused
{};

/// The engine answered with a failure of its own.
struct RunFailed
{};

/// The engine said that the item can never be done.
struct RunImpossible
{};

/// The engine serves other weights than the batch allows.
struct RunOutdated
{};

using RunEnding = std::variant<RunCompleted,
                               RunBroken,
                               RunRefused,
                               RunFailed,
                               RunImpossible,
                               RunOutdated>;

/// What one run on an engine has brought.
struct RunReport
{
  RunEnding m_ending;
  /// Data of the new events since the last report, joined by line feeds.
  std::string m_text;
  /// Last whole event of the run; 0: none.
  uint64_t m_lastEvent = 0;
  std::vector<core::WeightVersion> m_versions;
};

struct Scored
{
  std::string m_proof;
};

/// The scorer answered with a failure of its own.
struct ScoreFailed
{};

/// No answer from a scorer.
struct ScoreUnavailable
{};

using ScoreEnding = std::variant<Scored, ScoreFailed, ScoreUnavailable>;

BatchRun
MakeRun(std::shared_ptr<const Submission> aSubmission, BatchPolicy aPolicy);

/// Takes over results that were stored earlier, in order of their chunks.
void
AdoptChunk(BatchRun& aRun, ResultChunk aChunk);

/// True for a text that may hold up its batch.
bool
IsLong(const BatchRun& aRun, size_t aItem);

/// The next item that an engine should begin; nothing if none may start now.
std::optional<size_t>
NextToRun(const BatchRun& aRun, core::Instant aNow);

/// The item that may start now and is the last in order.
std::optional<size_t>
LastToRun(const BatchRun& aRun, core::Instant aNow);

/// Begins a run; returns its number.
uint64_t
StartRun(BatchRun& aRun, size_t aItem, const core::UpstreamId& aEngine);

/// Ignored if the run has been overtaken.
void
EndRun(BatchRun& aRun,
       size_t aItem,
       uint64_t aNumber,
       RunReport aReport,
       core::Instant aNow);

/// Keeps what a run has brought so far; ignored if it has been overtaken.
void
ExtendText(BatchRun& aRun,
           size_t aItem,
           uint64_t aNumber,
           const RunReport& aPart);

std::optional<size_t>
NextToScore(const BatchRun& aRun, core::Instant aNow);

uint64_t
StartScore(BatchRun& aRun, size_t aItem);

/// aAttempts: failures of the scorer, or the batch's limit if that is higher,
/// after which the item is given up.
void
EndScore(BatchRun& aRun,
         size_t aItem,
         uint64_t aNumber,
         const ScoreEnding& aEnding,
         uint32_t aAttempts,
         core::Instant aNow);

/// Gives up what is past its time.
void
GiveUpLate(BatchRun& aRun, core::Instant aNow);

/// The chunk to write now, if one is due; it stays the same until it is
/// stored or found taken.
std::optional<ResultChunk>
NextChunk(BatchRun& aRun, core::Instant aNow);

/// The chunk under way is durable: its results are listed.
void
ChunkStored(BatchRun& aRun);

/// Another owner has stored a chunk of that number.
void
ChunkTaken(BatchRun& aRun, ResultChunk aFound, core::Instant aNow);

/// The checkpoint to write now, if enough has come since the last one.
std::optional<Checkpoint>
NextCheckpoint(BatchRun& aRun, core::Instant aNow);

/// The checkpoint under way was written, or was not.
void
CheckpointWritten(BatchRun& aRun,
                  const Checkpoint& aCheckpoint,
                  bool aStored,
                  core::Instant aNow);

/// Goes on with the texts of an earlier owner that this batch may use; returns
/// how many.
size_t
AdoptCheckpoint(BatchRun& aRun, Checkpoint aCheckpoint);

/// No items start any more; what is listed stays.
void
EndBatch(BatchRun& aRun);

/// True when every item is listed.
bool
IsComplete(const BatchRun& aRun);

/// When something becomes due by itself; Instant::max() if nothing does.
core::Instant
NextDeadline(const BatchRun& aRun, core::Instant aNow);

} // namespace heatherdeal::batches
