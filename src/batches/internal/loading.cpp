#include "batches/batches.h"

#include "batches/internal/batchjson.h"
#include "batches/internal/objectnames.h"
#include "http/exchange.h"
#include "kernel/eventlog.h"

namespace heatherdeal::batches {

namespace {

constexpr core::Duration kRetryAfter = std::chrono::milliseconds(300);
// In it long texts that are refused find another engine before the short ones
// have filled them all.
constexpr core::Duration kHeadStart = std::chrono::milliseconds(40);

} // namespace

void
Batches::EnsureLoading(const OwnedPtr& aOwned)
{
  if (aOwned->m_loading) {
    return;
  }
  aOwned->m_loading = true;
  LoadItems(aOwned);
}

void
Batches::Later(std::function<void()> aTask)
{
  auto timer = std::make_shared<std::unique_ptr<kernel::DeadlineTimer>>();
  *timer = std::make_unique<kernel::DeadlineTimer>(
    m_context.Control(),
    [self = shared_from_this(), task = std::move(aTask), timer] {
      const auto keep = std::move(*timer);
      task();
    });
  (*timer)->Set(kernel::Now() + kRetryAfter);
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
        kernel::LogEvent(
          kernel::LogLevel::Warning,
          "batches",
          "load-failed",
          { { "batch", aOwned->m_id.m_value },
            { "reason", http::DescribeStatus(submission.status()) } });
        self->Later([self, aOwned] { self->LoadItems(aOwned); });
        return;
      }
      auto kept = std::make_shared<const Submission>(*std::move(submission));
      aOwned->m_run = MakeRun(kept, self->PolicyOf(*kept));
      self->LoadChunk(aOwned, 0);
    });
}

void
Batches::LoadChunk(const OwnedPtr& aOwned, uint64_t aNumber)
{
  if (!IsOwned(aOwned)) {
    return;
  }
  // A chunk never changes: one that is found may have been found late.
  m_store->ReadWithFreshness(
    objectstore::Freshness::MayBeStale,
    { std::string(kResultsKind), ChunkName(aOwned->m_id.m_value, aNumber) },
    objectstore::CallPriority::Configuration,
    [self = shared_from_this(), aOwned, aNumber](
      const absl::StatusOr<objectstore::StoredObject>& aObject) {
      if (aObject.ok() && aObject->m_version == 0) {
        self->LoadLastChunk(aOwned, aNumber);
        return;
      }
      self->TakeChunk(aOwned, aNumber, aObject);
    });
}

void
Batches::LoadLastChunk(const OwnedPtr& aOwned, uint64_t aNumber)
{
  m_store->Read(
    { std::string(kResultsKind), ChunkName(aOwned->m_id.m_value, aNumber) },
    objectstore::CallPriority::Configuration,
    [self = shared_from_this(), aOwned, aNumber](
      const absl::StatusOr<objectstore::StoredObject>& aObject) {
      if (!aObject.ok() || aObject->m_version > 0) {
        self->TakeChunk(aOwned, aNumber, aObject);
        return;
      }
      if (self->IsOwned(aOwned)) {
        self->LoadCheckpoint(aOwned);
      }
    });
}

void
Batches::TakeChunk(const OwnedPtr& aOwned,
                   uint64_t aNumber,
                   const absl::StatusOr<objectstore::StoredObject>& aObject)
{
  if (!IsOwned(aOwned)) {
    return;
  }
  absl::StatusOr<ResultChunk> chunk =
    aObject.ok() ? ParseChunk(aObject->m_value) : aObject.status();
  if (!chunk.ok()) {
    Later([self = shared_from_this(), aOwned, aNumber] {
      self->LoadChunk(aOwned, aNumber);
    });
    return;
  }
  AdoptChunk(aOwned->m_run, *std::move(chunk));
  LoadChunk(aOwned, aNumber + 1);
}

void
Batches::Activate(const OwnedPtr& aOwned,
                  std::shared_ptr<const Submission> aSubmission)
{
  aOwned->m_loaded = true;
  aOwned->m_run.m_policy.m_shortFrom = kernel::Now() + kHeadStart;
  if (IsEnded(aOwned->m_id.m_value)) {
    EndBatch(aOwned->m_run);
  }
  kernel::LogEvent(kernel::LogLevel::Info,
                   "batches",
                   "batch-active",
                   { { "batch", aOwned->m_id.m_value },
                     { "items", aSubmission->m_items.size() },
                     { "listed", aOwned->m_run.m_listed.size() },
                     { "ended", aOwned->m_run.m_ended },
                     { "oldest_version", aSubmission->m_oldest.m_number } });
  Pump();
}

} // namespace heatherdeal::batches
