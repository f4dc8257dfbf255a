// How a batch changes its owner safely. An owner lists results by creating
// chunks under consecutive numbers. Its successor creates an empty chunk under
// the next number before it lists any itself, so that the next write of an
// earlier owner, which may not have heard of its successor, conflicts.

#include "batches/batches.h"
#include "batches/internal/batchjson.h"
#include "batches/internal/objectnames.h"
#include "kernel/eventlog.h"

namespace heatherdeal::batches {

namespace {

// A trainer may ask for a position this long after another host has shown it.
constexpr core::Duration kOwnershipValidity = std::chrono::milliseconds(500);
// How long a read waits for the store to confirm the ownership.
constexpr core::Duration kMaxConfirmationWait = std::chrono::milliseconds(500);

} // namespace

void
Batches::SealResults(const OwnedPtr& aOwned)
{
  if (!IsOwned(aOwned)) {
    return;
  }
  ResultChunk seal;
  seal.m_number = aOwned->m_run.m_nextChunk;
  m_store->Write({ std::string(kResultsKind),
                   ChunkName(aOwned->m_id.m_value, seal.m_number) },
                 0,
                 ToJson(seal),
                 objectstore::CallPriority::Lease,
                 [self = shared_from_this(), aOwned, seal](
                   const absl::StatusOr<uint64_t>& aVersion) {
                   if (!self->IsOwned(aOwned)) {
                     return;
                   }
                   if (aVersion.ok()) {
                     AdoptChunk(aOwned->m_run, seal);
                     self->LoadCheckpoint(aOwned);
                     return;
                   }
                   if (absl::IsAborted(aVersion.status())) {
                     // The earlier owner has listed results meanwhile.
                     self->LoadChunk(aOwned, seal.m_number);
                     return;
                   }
                   self->ScheduleRetry(
                     [self, aOwned] { self->SealResults(aOwned); });
                 });
}

bool
Batches::IsOwnershipConfirmed(const OwnedBatch& aOwned, core::Instant aNow)
{
  return aOwned.m_confirmedAt != core::Instant{} &&
         aNow - aOwned.m_confirmedAt <= kOwnershipValidity;
}

void
Batches::ConfirmOwnership(const OwnedPtr& aOwned)
{
  if (aOwned->m_isConfirming) {
    return;
  }
  const core::Instant startedAt = kernel::Now();
  aOwned->m_isConfirming = true;
  aOwned->m_confirmationWaitEnd = startedAt + kMaxConfirmationWait;
  FetchPlacement(
    aOwned->m_id,
    [self = shared_from_this(), aOwned, startedAt](
      const absl::StatusOr<Placement>& aPlacement) {
      aOwned->m_isConfirming = false;
      if (!self->IsOwned(aOwned)) {
        return;
      }
      if (!aPlacement.ok()) {
        self->m_context.Metrics().Get("batches.ownership_unconfirmed").Add();
        RejectDueReads(*aOwned, kernel::Now());
      } else {
        aOwned->m_confirmedAt = startedAt;
      }
      // A read that was sent before the foreign results were met may have been
      // executed before the other host took the batch over.
      const bool isSettled =
        aPlacement.ok() && aOwned->m_contestedAt <= startedAt;
      if (isSettled) {
        aOwned->m_contestedAt.reset();
      }
      if (aOwned->m_contestedAt) {
        self->ScheduleRetry([self, aOwned] { self->ConfirmOwnership(aOwned); });
      }
      if (aPlacement.ok()) {
        self->RunDueWork();
      }
    });
}

void
Batches::HandleContestedResults(const OwnedPtr& aOwned)
{
  kernel::LogEvent(kernel::LogLevel::Info,
                   "batches",
                   "ownership-contested",
                   { { "batch", aOwned->m_id.m_value },
                     { "chunk", aOwned->m_run.m_nextChunk } });
  aOwned->m_contestedAt = kernel::Now();
  ConfirmOwnership(aOwned);
}

void
Batches::RejectDueReads(OwnedBatch& aOwned, core::Instant aNow)
{
  std::vector<PendingRead> pendingReads =
    std::exchange(aOwned.m_pendingReads, {});
  for (PendingRead& pending : pendingReads) {
    if (IsDue(aOwned, pending, aNow)) {
      pending.m_done(TemporarilyUnavailable{
        "the store does not confirm that this host owns the batch" });
    } else {
      aOwned.m_pendingReads.push_back(std::move(pending));
    }
  }
}

bool
Batches::IsDue(const OwnedBatch& aOwned,
               const PendingRead& aRead,
               core::Instant aNow)
{
  return aRead.m_expiresAt <= aNow || aOwned.m_run.m_ended;
}

} // namespace heatherdeal::batches
