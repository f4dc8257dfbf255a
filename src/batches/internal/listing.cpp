#include "batches/batches.h"

#include "batches/internal/batchjson.h"
#include "batches/internal/objectnames.h"
#include "kernel/eventlog.h"

namespace heatherdeal::batches {

namespace {

constexpr size_t kMaxPageBytes = 256 * 1024;

/// Returns the durable results from a position onwards, as many as fit into one
/// page.
ResultPage
PageOf(const BatchRun& aRun, size_t aAfter)
{
  ResultPage page;
  page.m_total = aRun.m_items.size();
  size_t bytes = 0;
  for (size_t i = aAfter; i < aRun.m_listed.size(); ++i) {
    const auto* completed = std::get_if<Completed>(&aRun.m_listed[i].m_outcome);
    bytes += completed == nullptr ? 0 : completed->m_text.size();
    if (i > aAfter && bytes > kMaxPageBytes) {
      break;
    }
    page.m_results.push_back(aRun.m_listed[i]);
  }
  return page;
}

} // namespace

void
Batches::LogLost(const OwnedPtr& aOwned, const ResultChunk& aChunk) const
{
  for (const ItemResult& result : aChunk.m_results) {
    if (!std::holds_alternative<Lost>(result.m_outcome)) {
      continue;
    }
    const BatchRun& run = aOwned->m_run;
    const ItemState& item =
      run.m_items[run.m_indexes.at(result.m_item.m_value)];
    kernel::LogEvent(kernel::LogLevel::Info,
                     "batches",
                     "item-lost",
                     { { "batch", aOwned->m_id.m_value },
                       { "item", result.m_item.m_value },
                       { "failed_runs", item.m_failedRuns },
                       { "failed_scores", item.m_failedScores },
                       { "last_engine", item.m_lastEngine.m_value },
                       { "last_event", item.m_events } });
  }
}

void
Batches::StoreResults(const OwnedPtr& aOwned)
{
  const std::optional<ResultChunk> chunk =
    NextChunk(aOwned->m_run, kernel::Now());
  if (chunk) {
    LogLost(aOwned, *chunk);
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
        ChunkStored(aOwned->m_run);
        self->Pump();
        return;
      }
      if (absl::IsAborted(aVersion.status())) {
        self->ReadTakenChunk(aOwned, aChunk);
        return;
      }
      self->m_context.Metrics().Get("batches.chunk_write_failed").Add();
      self->Later([self, aOwned, aChunk] { self->WriteChunk(aOwned, aChunk); });
    });
}

void
Batches::ReadTakenChunk(const OwnedPtr& aOwned, const ResultChunk& aChunk)
{
  m_store->Read({ std::string(kResultsKind),
                  ChunkName(aOwned->m_id.m_value, aChunk.m_number) },
                objectstore::CallPriority::Lease,
                [self = shared_from_this(), aOwned, aChunk](
                  const absl::StatusOr<objectstore::StoredObject>& aObject) {
                  if (!self->IsOwned(aOwned)) {
                    return;
                  }
                  absl::StatusOr<ResultChunk> found =
                    aObject.ok() ? ParseChunk(aObject->m_value)
                                 : aObject.status();
                  if (!found.ok()) {
                    self->Later([self, aOwned, aChunk] {
                      self->WriteChunk(aOwned, aChunk);
                    });
                    return;
                  }
                  ChunkTaken(aOwned->m_run, *std::move(found), kernel::Now());
                  self->Pump();
                });
}

void
Batches::AnswerWaiters(OwnedBatch& aOwned)
{
  const core::Instant now = kernel::Now();
  std::vector<Waiter> waiters = std::exchange(aOwned.m_waiters, {});
  for (Waiter& waiter : waiters) {
    const bool ready = aOwned.m_run.m_listed.size() > waiter.m_after ||
                       waiter.m_until <= now || aOwned.m_run.m_ended;
    if (!ready) {
      aOwned.m_waiters.push_back(std::move(waiter));
      continue;
    }
    waiter.m_done(PageOf(aOwned.m_run, waiter.m_after));
  }
}

} // namespace heatherdeal::batches
