#include "batches/batches.h"

#include "batches/internal/batchjson.h"
#include "batches/internal/objectnames.h"
#include "http/exchange.h"
#include "kernel/eventlog.h"

namespace heatherdeal::batches {

namespace {

constexpr core::Duration kStoreRetryDelay = std::chrono::milliseconds(300);
// How long only long texts start in a new batch. A long text that is refused
// can then find another engine before short texts have filled them all.
constexpr core::Duration kLongItemHeadStart = std::chrono::milliseconds(40);

} // namespace

void
Batches::EnsureLoading(const OwnedPtr& aOwned)
{
  // The policy of a batch is that of its route; HandleConfiguration continues.
  const bool isConfigured = m_configuration->Read()->m_generation > 0;
  if (aOwned->m_loading || !isConfigured) {
    return;
  }
  aOwned->m_loading = true;
  LoadItems(aOwned);
}

void
Batches::ScheduleRetry(std::function<void()> aTask)
{
  auto timer = std::make_shared<std::unique_ptr<kernel::DeadlineTimer>>();
  *timer = std::make_unique<kernel::DeadlineTimer>(
    m_context.Control(),
    [self = shared_from_this(), task = std::move(aTask), timer] {
      // Breaks the ownership cycle of the timer and this callback. The timer is
      // destroyed after the task has run.
      const auto keptTimer = std::move(*timer);
      task();
    });
  (*timer)->Set(kernel::Now() + kStoreRetryDelay);
}

void
Batches::LogLoadFailure(OwnedBatch& aOwned, const absl::Status& aStatus)
{
  const std::string reason = http::DescribeStatus(aStatus);
  if (std::exchange(aOwned.m_loadFailure, reason) == reason) {
    return;
  }
  kernel::LogEvent(kernel::LogLevel::Warning,
                   "batches",
                   "load-failed",
                   { { "batch", aOwned.m_id.m_value }, { "reason", reason } });
}

void
Batches::LoadItems(const OwnedPtr& aOwned)
{
  m_store->Read(
    { std::string(kItemsKind), aOwned->m_id.m_value },
    objectstore::CallPriority::Configuration,
    [self = shared_from_this(),
     aOwned](const absl::StatusOr<objectstore::StoredObject>& aObject) {
      if (!self->IsOwned(aOwned)) {
        return;
      }
      absl::StatusOr<Submission> submission =
        aObject.ok() ? ParseSubmission(aObject->m_value) : aObject.status();
      if (!submission.ok()) {
        LogLoadFailure(*aOwned, submission.status());
        self->ScheduleRetry([self, aOwned] { self->LoadItems(aOwned); });
        return;
      }
      auto shared = std::make_shared<const Submission>(*std::move(submission));
      aOwned->m_acceptedAt = ToMonotonic(shared->m_acceptedAt);
      aOwned->m_run = MakeBatchRun(shared, self->MakePolicy(*aOwned, *shared));
      self->LoadChunk(aOwned, 0);
    });
}

void
Batches::LoadChunk(const OwnedPtr& aOwned, uint64_t aChunkNumber)
{
  if (!IsOwned(aOwned)) {
    return;
  }
  // A stored chunk never changes, so a stale read that finds it is sufficient.
  // Only a missing chunk has to be confirmed by a strongly consistent read.
  m_store->ReadWithFreshness(
    objectstore::Freshness::MayBeStale,
    { std::string(kResultsKind),
      ChunkName(aOwned->m_id.m_value, aChunkNumber) },
    objectstore::CallPriority::Configuration,
    [self = shared_from_this(), aOwned, aChunkNumber](
      const absl::StatusOr<objectstore::StoredObject>& aObject) {
      if (aObject.ok() && aObject->m_version == 0) {
        self->ConfirmChunkMissing(aOwned, aChunkNumber);
        return;
      }
      self->HandleLoadedChunk(aOwned, aChunkNumber, aObject);
    });
}

void
Batches::ConfirmChunkMissing(const OwnedPtr& aOwned, uint64_t aChunkNumber)
{
  m_store->Read({ std::string(kResultsKind),
                  ChunkName(aOwned->m_id.m_value, aChunkNumber) },
                objectstore::CallPriority::Configuration,
                [self = shared_from_this(), aOwned, aChunkNumber](
                  const absl::StatusOr<objectstore::StoredObject>& aObject) {
                  if (!aObject.ok() || aObject->m_version > 0) {
                    self->HandleLoadedChunk(aOwned, aChunkNumber, aObject);
                    return;
                  }
                  if (!self->IsOwned(aOwned)) {
                    return;
                  }
                  if (IsComplete(aOwned->m_run)) {
                    self->LoadCheckpoint(aOwned);
                  } else {
                    self->SealResults(aOwned);
                  }
                });
}

void
Batches::HandleLoadedChunk(
  const OwnedPtr& aOwned,
  uint64_t aChunkNumber,
  const absl::StatusOr<objectstore::StoredObject>& aObject)
{
  if (!IsOwned(aOwned)) {
    return;
  }
  absl::StatusOr<ResultChunk> chunk =
    aObject.ok() ? ParseChunk(aObject->m_value) : aObject.status();
  if (!chunk.ok()) {
    LogLoadFailure(*aOwned, chunk.status());
    ScheduleRetry([self = shared_from_this(), aOwned, aChunkNumber] {
      self->LoadChunk(aOwned, aChunkNumber);
    });
    return;
  }
  AdoptChunk(aOwned->m_run, *std::move(chunk));
  LoadChunk(aOwned, aChunkNumber + 1);
}

void
Batches::ActivateBatch(const OwnedPtr& aOwned,
                       std::shared_ptr<const Submission> aSubmission)
{
  aOwned->m_loaded = true;
  aOwned->m_run.m_policy.m_shortItemsStartAt =
    kernel::Now() + kLongItemHeadStart;
  if (IsEnded(aOwned->m_id.m_value)) {
    MarkBatchEnded(aOwned->m_run);
  }
  kernel::LogEvent(
    kernel::LogLevel::Info,
    "batches",
    "batch-active",
    { { "batch", aOwned->m_id.m_value },
      { "items", aSubmission->m_items.size() },
      { "listed", aOwned->m_run.m_durableResults.size() },
      { "ended", aOwned->m_run.m_ended },
      { "oldest_version", aSubmission->m_oldestAllowedVersion.m_number } });
  RunDueWork();
}

} // namespace heatherdeal::batches
