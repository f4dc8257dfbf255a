#include "batches/batches.h"

#include "batches/internal/batchjson.h"
#include "batches/internal/objectnames.h"
#include "batches/internal/ownerhosts.h"
#include "batches/owners.h"
#include "batches/retention.h"
#include "http/exchange.h"
#include "kernel/eventlog.h"
#include "objectstore/hosts.h"

namespace heatherdeal::batches {

namespace {

// A starting host does not treat others as failed until its gossip has had time
// to hear from them.
constexpr core::Duration kGossipWarmUpTime = std::chrono::seconds(4);
constexpr core::Duration kTakeoverInterval = std::chrono::milliseconds(800);
constexpr core::Duration kHandOverRetryDelay = std::chrono::milliseconds(300);

absl::StatusOr<Placement>
ParseStoredPlacement(const objectstore::StoredObject& aObject)
{
  absl::StatusOr<Placement> placement = ParsePlacement(aObject.m_value);
  if (placement.ok()) {
    placement->m_batch.m_value = aObject.m_key.m_name;
    placement->m_version = aObject.m_version;
  }
  return placement;
}

} // namespace

void
Batches::ApplyPlacements(std::span<const objectstore::StoredObject> aObjects)
{
  for (const objectstore::StoredObject& object : aObjects) {
    absl::StatusOr<Placement> placement = ParseStoredPlacement(object);
    if (!placement.ok()) {
      m_context.Metrics().Get("batches.invalid_placement").Add();
      continue;
    }
    ApplyPlacement(*std::move(placement));
  }
  RunDueWork();
}

void
Batches::ApplyPlacement(Placement aPlacement)
{
  const std::string id = aPlacement.m_batch.m_value;
  const auto known = m_placements.find(id);
  if (known != m_placements.end() &&
      known->second.m_version >= aPlacement.m_version) {
    return;
  }
  m_placements.insert_or_assign(id, aPlacement);
  m_unconfirmedCreations.erase(id);
  const bool isOwner = aPlacement.m_owner == m_context.Self().m_host;
  const auto owned = m_owned.find(id);
  if (!isOwner && owned != m_owned.end()) {
    kernel::LogEvent(kernel::LogLevel::Info,
                     "batches",
                     "batch-lost-to",
                     { { "batch", id },
                       { "owner", aPlacement.m_owner },
                       { "placement_version", aPlacement.m_version } });
    DropBatch(id);
    return;
  }
  if (isOwner && owned == m_owned.end()) {
    kernel::LogEvent(kernel::LogLevel::Info,
                     "batches",
                     "batch-taken",
                     { { "batch", id },
                       { "ended", aPlacement.m_ended },
                       { "placement_version", aPlacement.m_version } });
    auto taken = std::make_shared<OwnedBatch>();
    taken->m_id = aPlacement.m_batch;
    m_owned.emplace(id, taken);
    // An ended batch is loaded only when a caller asks for it.
    if (!aPlacement.m_ended) {
      EnsureLoading(taken);
    }
    return;
  }
  if (isOwner && aPlacement.m_ended && owned->second->m_loaded) {
    MarkBatchEnded(owned->second->m_run);
    AbortActiveRequests(*owned->second);
  }
}

void
Batches::DropBatch(std::string_view aBatch)
{
  const auto found = m_owned.find(aBatch);
  if (found == m_owned.end()) {
    return;
  }
  const OwnedPtr owned = found->second;
  m_owned.erase(found);
  AbortActiveRequests(*owned);
  for (const PendingRead& pending : owned->m_pendingReads) {
    pending.m_done(
      TemporarilyUnavailable{ "this host no longer owns the batch" });
  }
}

void
Batches::WritePlacement(Placement aPlacement,
                        std::function<void(absl::StatusOr<uint64_t>)> aDone)
{
  objectstore::ObjectKey key{ std::string(kPlacementKind),
                              aPlacement.m_batch.m_value };
  m_store->Write(std::move(key),
                 aPlacement.m_version,
                 ToJson(aPlacement),
                 objectstore::CallPriority::Lease,
                 [self = shared_from_this(), aPlacement, aDone](
                   absl::StatusOr<uint64_t> aVersion) {
                   if (aVersion.ok()) {
                     Placement stored = aPlacement;
                     stored.m_version = *aVersion;
                     self->ApplyPlacement(std::move(stored));
                   }
                   aDone(std::move(aVersion));
                 });
}

void
Batches::FetchPlacement(const BatchId& aBatch,
                        std::function<void(absl::StatusOr<Placement>)> aDone)
{
  m_store->Read({ std::string(kPlacementKind), aBatch.m_value },
                objectstore::CallPriority::Lease,
                [self = shared_from_this(), aBatch, aDone](
                  absl::StatusOr<objectstore::StoredObject> aObject) {
                  if (!aObject.ok()) {
                    aDone(aObject.status());
                    return;
                  }
                  if (aObject->m_version == 0) {
                    aDone(core::ToStatus(core::NotFound{ aBatch.m_value }));
                    return;
                  }
                  absl::StatusOr<Placement> placement =
                    ParseStoredPlacement(*aObject);
                  if (placement.ok()) {
                    self->ApplyPlacement(*placement);
                  }
                  aDone(std::move(placement));
                });
}

bool
Batches::IsOrphaned(const Placement& aPlacement) const
{
  const std::string& owner = aPlacement.m_owner;
  if (owner == m_context.Self().m_host) {
    return false;
  }
  const bool gossipWarmedUp = kernel::Now() - m_startedAt > kGossipWarmUpTime;
  return owner.empty() || (gossipWarmedUp && !m_gossip->IsRecentlyHeard(owner));
}

bool
Batches::IsThisHostNextOwner(const BatchId& aBatch) const
{
  // A host that hands its batches over does not take them back before
  // ResumeOwning.
  if (m_isHandingOver) {
    return false;
  }
  const auto hosts = m_context.Get<objectstore::Hosts>()->Read();
  const OwnerHosts owners = FindOwnerHosts(*hosts, *m_gossip);
  // Where all hosts leave, they own the batches until others come.
  const std::vector<std::string>& candidates =
    owners.m_available.empty() ? owners.m_leaving : owners.m_available;
  const size_t activeOwners = CountActiveOwners(CountUpstreams(*hosts));
  const std::vector<std::string> ranked =
    RankOwners(candidates, aBatch.m_value, activeOwners);
  return !ranked.empty() && ranked.front() == m_context.Self().m_host;
}

void
Batches::TakeOverBatch(const Placement& aPlacement)
{
  // Limits takeover writes to one per interval, also while the store rejects
  // them.
  core::Instant& nextAttempt = m_nextTakeoverAt[aPlacement.m_batch.m_value];
  if (kernel::Now() < nextAttempt) {
    return;
  }
  nextAttempt = kernel::Now() + kTakeoverInterval;
  kernel::LogEvent(kernel::LogLevel::Info,
                   "batches",
                   "takeover",
                   { { "batch", aPlacement.m_batch.m_value },
                     { "from", aPlacement.m_owner },
                     { "placement_version", aPlacement.m_version } });
  m_context.Metrics().Get("batches.takeovers").Add();
  Placement taken = aPlacement;
  taken.m_owner = m_context.Self().m_host;
  taken.m_ended =
    taken.m_ended || m_pendingEnds.contains(aPlacement.m_batch.m_value);
  WritePlacement(std::move(taken),
                 [self = shared_from_this(),
                  aPlacement](const absl::StatusOr<uint64_t>& aVersion) {
                   if (!aVersion.ok()) {
                     self->FetchPlacement(
                       aPlacement.m_batch,
                       [](const absl::StatusOr<Placement>&) {});
                   }
                 });
}

void
Batches::TakeOverOrphans()
{
  if (m_context.ProcessShutdown().IsRequested()) {
    return;
  }
  std::vector<Placement> orphans;
  for (const auto& [id, placement] : m_placements) {
    // An ended batch is taken over only to be removed.
    const bool isNeeded = !placement.m_ended || IsExpired(placement);
    const bool needsOwner = isNeeded && IsOrphaned(placement);
    if (needsOwner && IsThisHostNextOwner(placement.m_batch)) {
      orphans.push_back(placement);
    }
  }
  for (const Placement& orphan : orphans) {
    TakeOverBatch(orphan);
  }
}

bool
Batches::IsExpired(const Placement& aPlacement) const
{
  return batches::IsExpired(
    aPlacement, kernel::UnixMilliseconds(), m_settings.m_retention);
}

void
Batches::RemoveExpiredBatches()
{
  std::vector<OwnedPtr> expired;
  for (const auto& [id, owned] : m_owned) {
    const auto placement = m_placements.find(id);
    if (placement != m_placements.end() && IsExpired(placement->second)) {
      expired.push_back(owned);
    }
  }
  for (const OwnedPtr& owned : expired) {
    const std::string id = owned->m_id.m_value;
    if (!owned->m_loaded) {
      // The batch must be loaded to know which chunks to remove.
      EnsureLoading(owned);
      continue;
    }
    for (uint64_t i = 0; i < owned->m_run.m_nextChunk; ++i) {
      m_store->Remove({ std::string(kResultsKind), ChunkName(id, i) });
    }
    m_store->Remove({ std::string(kCheckpointKind), id });
    m_store->Remove({ std::string(kItemsKind), id });
    m_store->Remove({ std::string(kPlacementKind), id });
    kernel::LogEvent(
      kernel::LogLevel::Info, "batches", "batch-expired", { { "batch", id } });
    m_placements.erase(id);
    m_nextTakeoverAt.erase(id);
    DropBatch(id);
  }
}

void
Batches::HandOver(HandOverCallback aDone)
{
  m_isHandingOver = true;
  // Starts at 1, so that aDone is called only after all writes were started,
  // and also if there are none.
  auto remaining = std::make_shared<size_t>(1);
  const auto finishWrite = [self = shared_from_this(), remaining, aDone] {
    *remaining -= 1;
    if (*remaining == 0) {
      aDone(self->m_owned.empty());
    }
  };
  std::vector<Placement> own;
  for (const auto& [id, owned] : m_owned) {
    const auto placement = m_placements.find(id);
    if (placement != m_placements.end()) {
      own.push_back(placement->second);
    }
  }
  for (Placement& placement : own) {
    *remaining += 1;
    const BatchId batch = placement.m_batch;
    placement.m_owner.clear();
    placement.m_ended =
      placement.m_ended || m_pendingEnds.contains(batch.m_value);
    WritePlacement(
      std::move(placement),
      [self = shared_from_this(), batch, finishWrite](
        const absl::StatusOr<uint64_t>& aVersion) {
        if (aVersion.ok()) {
          finishWrite();
          return;
        }
        kernel::LogEvent(
          kernel::LogLevel::Warning,
          "batches",
          "hand-over-failed",
          { { "batch", batch.m_value },
            { "reason", http::DescribeStatus(aVersion.status()) } });
        // The placement may have changed, or the write may have
        // taken effect although its response was lost.
        self->FetchPlacement(
          batch,
          [finishWrite](const absl::StatusOr<Placement>&) { finishWrite(); });
      });
  }
  finishWrite();
}

bool
Batches::HasSuccessor() const
{
  const auto hosts = m_context.Get<objectstore::Hosts>()->Read();
  const OwnerHosts owners = FindOwnerHosts(*hosts, *m_gossip);
  return std::ranges::any_of(owners.m_available, [&](std::string_view aHost) {
    return aHost != m_context.Self().m_host;
  });
}

bool
Batches::HasOrphans() const
{
  return std::ranges::any_of(m_placements, [](const auto& aEntry) {
    const Placement& placement = aEntry.second;
    return !placement.m_ended && placement.m_owner.empty();
  });
}

void
Batches::ResumeOwning()
{
  m_isHandingOver = false;
  TakeOverOrphans();
}

void
Batches::HandOverBeforeExit()
{
  HandOver([self = shared_from_this()](bool aIsEmpty) {
    if (aIsEmpty) {
      self->m_drainHold.reset();
      return;
    }
    self->m_drainTimer.Set(kernel::Now() + kHandOverRetryDelay);
  });
}

bool
Batches::IsEnded(std::string_view aBatch) const
{
  const auto placement = m_placements.find(aBatch);
  const bool isRecorded =
    placement != m_placements.end() && placement->second.m_ended;
  return isRecorded || m_pendingEnds.contains(aBatch);
}

bool
Batches::HasOpenBatches() const
{
  for (const auto& [id, owned] : m_owned) {
    const bool open =
      !IsEnded(id) && (!owned->m_loaded || !IsComplete(owned->m_run));
    if (open) {
      return true;
    }
  }
  return false;
}

} // namespace heatherdeal::batches
