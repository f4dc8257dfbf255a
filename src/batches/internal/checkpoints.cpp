#include "batches/batches.h"
#include "batches/internal/batchjson.h"
#include "batches/internal/objectnames.h"
#include "http/exchange.h"
#include "kernel/eventlog.h"

namespace heatherdeal::batches {

void
Batches::StoreCheckpoint(const OwnedPtr& aOwned)
{
  std::optional<Checkpoint> next =
    IsOwned(aOwned) ? StartNextCheckpoint(aOwned->m_run, kernel::Now())
                    : std::nullopt;
  if (!next) {
    return;
  }
  const auto checkpoint = std::make_shared<const Checkpoint>(*std::move(next));
  m_store->Write(
    { std::string(kCheckpointKind), aOwned->m_id.m_value },
    aOwned->m_checkpointVersion,
    ToJson(*checkpoint),
    objectstore::CallPriority::Status,
    [self = shared_from_this(), aOwned, checkpoint](
      const absl::StatusOr<uint64_t>& aVersion) {
      if (aVersion.ok()) {
        aOwned->m_checkpointVersion = *aVersion;
      } else {
        // A failed checkpoint loses only progress; the next one is due after
        // the usual interval.
        self->m_context.Metrics().Get("batches.checkpoint_failed").Add();
      }
      FinishCheckpoint(
        aOwned->m_run, *checkpoint, aVersion.ok(), kernel::Now());
      if (absl::IsAborted(aVersion.status())) {
        self->LoadCheckpointVersion(aOwned);
      }
    });
}

void
Batches::LoadCheckpointVersion(const OwnedPtr& aOwned)
{
  m_store->Read(
    { std::string(kCheckpointKind), aOwned->m_id.m_value },
    objectstore::CallPriority::Status,
    [aOwned](const absl::StatusOr<objectstore::StoredObject>& aRead) {
      if (aRead.ok()) {
        aOwned->m_checkpointVersion = aRead->m_version;
      }
    });
}

void
Batches::LoadCheckpoint(const OwnedPtr& aOwned)
{
  if (IsEnded(aOwned->m_id.m_value)) {
    ActivateBatch(aOwned, aOwned->m_run.m_submission);
    return;
  }
  m_store->Read({ std::string(kCheckpointKind), aOwned->m_id.m_value },
                objectstore::CallPriority::Configuration,
                [self = shared_from_this(), aOwned](
                  const absl::StatusOr<objectstore::StoredObject>& aRead) {
                  if (!self->IsOwned(aOwned)) {
                    return;
                  }
                  // Without a checkpoint, texts are generated from the
                  // beginning.
                  self->ApplyLoadedCheckpoint(aOwned, aRead);
                  self->ActivateBatch(aOwned, aOwned->m_run.m_submission);
                });
}

void
Batches::ApplyLoadedCheckpoint(
  const OwnedPtr& aOwned,
  const absl::StatusOr<objectstore::StoredObject>& aRead)
{
  if (aRead.ok() && aRead->m_version == 0) {
    return;
  }
  absl::StatusOr<Checkpoint> checkpoint =
    aRead.ok() ? ParseCheckpoint(aRead->m_value) : aRead.status();
  if (aRead.ok()) {
    aOwned->m_checkpointVersion = aRead->m_version;
  }
  if (!checkpoint.ok()) {
    kernel::LogEvent(
      kernel::LogLevel::Warning,
      "batches",
      "load-failed",
      { { "batch", aOwned->m_id.m_value },
        { "reason", http::DescribeStatus(checkpoint.status()) } });
    return;
  }
  const size_t found = checkpoint->m_texts.size();
  const size_t adopted = AdoptCheckpoint(aOwned->m_run, *std::move(checkpoint));
  kernel::LogEvent(kernel::LogLevel::Info,
                   "batches",
                   "texts-resumed",
                   { { "batch", aOwned->m_id.m_value },
                     { "found", found },
                     { "usable", adopted } });
}

} // namespace heatherdeal::batches
