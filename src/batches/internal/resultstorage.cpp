#include "batches/batches.h"

#include "batches/internal/batchjson.h"
#include "batches/internal/objectnames.h"
#include "kernel/eventlog.h"

namespace heatherdeal::batches {

namespace {

ResultPage
MakePage(const BatchRun& aRun, size_t aFirstPosition)
{
  const std::span<const ItemResult> results = SelectPage(aRun, aFirstPosition);
  ResultPage page;
  page.m_total = aRun.m_items.size();
  page.m_results.assign(results.begin(), results.end());
  return page;
}

} // namespace

void
Batches::LogLostItems(const OwnedPtr& aOwned, const ResultChunk& aChunk) const
{
  for (const ItemResult& result : aChunk.m_results) {
    if (!std::holds_alternative<Lost>(result.m_outcome)) {
      continue;
    }
    const BatchRun& run = aOwned->m_run;
    const ItemState& item =
      run.m_items[run.m_itemIndexes.at(result.m_item.m_value)];
    kernel::LogEvent(kernel::LogLevel::Info,
                     "batches",
                     "item-lost",
                     { { "batch", aOwned->m_id.m_value },
                       { "item", result.m_item.m_value },
                       { "failed_runs", item.m_failedRuns },
                       { "failed_scores", item.m_failedScores },
                       { "last_engine", item.m_lastEngine.m_value },
                       { "last_event", item.m_eventCount } });
  }
}

void
Batches::StoreDueResults(const OwnedPtr& aOwned)
{
  if (aOwned->m_contestedAt) {
    return;
  }
  const std::optional<ResultChunk> chunk =
    StartNextChunk(aOwned->m_run, kernel::Now());
  if (chunk) {
    LogLostItems(aOwned, *chunk);
    WriteChunk(aOwned, *chunk);
  }
}

void
Batches::WriteChunk(const OwnedPtr& aOwned, const ResultChunk& aChunk)
{
  if (!IsOwned(aOwned)) {
    return;
  }
  m_store->Write(
    { std::string(kResultsKind),
      ChunkName(aOwned->m_id.m_value, aChunk.m_number) },
    0,
    ToJson(aChunk),
    objectstore::CallPriority::Lease,
    [self = shared_from_this(), aOwned, aChunk](
      const absl::StatusOr<uint64_t>& aVersion) {
      if (!self->IsOwned(aOwned)) {
        return;
      }
      if (aVersion.ok()) {
        kernel::LogEvent(kernel::LogLevel::Info,
                         "batches",
                         "results-stored",
                         { { "batch", aOwned->m_id.m_value },
                           { "chunk", aChunk.m_number },
                           { "results", aChunk.m_results.size() } });
        CommitChunk(aOwned->m_run);
        self->RunDueWork();
        return;
      }
      if (absl::IsAborted(aVersion.status())) {
        self->ReadConflictingChunk(aOwned, aChunk);
        return;
      }
      self->m_context.Metrics().Get("batches.chunk_write_failed").Add();
      self->ScheduleRetry(
        [self, aOwned, aChunk] { self->WriteChunk(aOwned, aChunk); });
    });
}

void
Batches::ReadConflictingChunk(const OwnedPtr& aOwned, const ResultChunk& aChunk)
{
  m_store->Read(
    { std::string(kResultsKind),
      ChunkName(aOwned->m_id.m_value, aChunk.m_number) },
    objectstore::CallPriority::Lease,
    [self = shared_from_this(), aOwned, aChunk](
      const absl::StatusOr<objectstore::StoredObject>& aObject) {
      if (!self->IsOwned(aOwned)) {
        return;
      }
      absl::StatusOr<ResultChunk> found =
        aObject.ok() ? ParseChunk(aObject->m_value) : aObject.status();
      if (!found.ok()) {
        self->ScheduleRetry(
          [self, aOwned, aChunk] { self->WriteChunk(aOwned, aChunk); });
        return;
      }
      ResolveChunkConflict(aOwned->m_run, *std::move(found), kernel::Now());
      self->HandleContestedResults(aOwned);
    });
}

void
Batches::AnswerPendingReads(const OwnedPtr& aOwned)
{
  const core::Instant now = kernel::Now();
  const BatchRun& run = aOwned->m_run;
  // An earlier owner must not say that there is nothing where its successor has
  // shown a result.
  const bool mayAnswerNothing =
    IsComplete(run) || IsOwnershipConfirmed(*aOwned, now);
  bool needsConfirmation = false;
  std::vector<PendingRead> pendingReads =
    std::exchange(aOwned->m_pendingReads, {});
  for (PendingRead& pending : pendingReads) {
    const bool hasResults =
      run.m_durableResults.size() > pending.m_firstPosition;
    const bool isDue = IsDue(*aOwned, pending, now);
    if (hasResults || (isDue && mayAnswerNothing)) {
      pending.m_done(MakePage(run, pending.m_firstPosition));
      continue;
    }
    needsConfirmation = needsConfirmation || isDue;
    aOwned->m_pendingReads.push_back(std::move(pending));
  }
  if (!needsConfirmation) {
    return;
  }
  ConfirmOwnership(aOwned);
  if (aOwned->m_isConfirming && aOwned->m_confirmationWaitEnd <= now) {
    RejectDueReads(*aOwned, now);
  }
}

} // namespace heatherdeal::batches
