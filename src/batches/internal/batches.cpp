#include "batches/batches.h"

#include "batches/internal/batchjson.h"
#include "batches/internal/objectnames.h"
#include "core/overloaded.h"
#include "http/exchange.h"
#include "kernel/eventlog.h"
#include "objectstore/hosts.h"

namespace heatherdeal::batches {

namespace {

constexpr core::Duration kHousekeepingInterval = std::chrono::milliseconds(500);

} // namespace

Batches::Batches(kernel::Context& aContext, BatchesSettings aSettings)
  : m_context(aContext)
  , m_settings(aSettings)
  , m_store(aContext.Get<objectstore::ObjectStore>())
  , m_configuration(aContext.Get<configuration::ActiveConfiguration>())
  , m_gossip(aContext.Get<gossip::Gossip>())
  , m_relay(aContext.Get<relay::Relay>())
  , m_budget(aContext.Get<http::ProcessBudget>())
  , m_workTimer(aContext.Control(), [this] { RunDueWork(); })
  , m_housekeepingTimer(aContext.Control(),
                        [this] {
                          TakeOverOrphans();
                          RemoveExpiredBatches();
                          WritePendingEnds();
                          ForgetOldCreations();
                          m_housekeepingTimer.Set(kernel::Now() +
                                                  kHousekeepingInterval);
                        })
  , m_drainTimer(aContext.Control(), [this] { HandOverBeforeExit(); })
  , m_startedAt(kernel::Now())
{
}

void
Batches::Start()
{
  if (!m_settings.m_enabled) {
    return;
  }
  const auto self = shared_from_this();
  m_store->Watch(std::string(kPlacementKind),
                 [self](std::span<const objectstore::StoredObject> aObjects) {
                   self->ApplyPlacements(aObjects);
                 });
  m_context.Get<objectstore::Hosts>()->Subscribe(
    [self](std::span<const objectstore::HostEntry>) { self->RunDueWork(); });
  m_configuration->Subscribe([self](const configuration::Document& aDocument) {
    self->HandleConfiguration(aDocument);
  });
  m_housekeepingTimer.Set(kernel::Now() + kHousekeepingInterval);
}

void
Batches::StartDraining()
{
  if (!m_settings.m_enabled) {
    return;
  }
  m_drainHold = m_context.ProcessShutdown().Acquire();
  m_drainTimer.Set(kernel::Now() + m_settings.m_drainTime);
}

bool
IsOfOtherCustomer(const Placement& aPlacement,
                  const core::CustomerId& aCustomer)
{
  const bool hasCustomer = !aPlacement.m_customer.m_value.empty();
  return hasCustomer && aPlacement.m_customer != aCustomer;
}

Batches::OwnedPtr
Batches::FindOwned(const BatchReference& aBatch) const
{
  const auto placement = m_placements.find(aBatch.m_batch.m_value);
  const auto owned = m_owned.find(aBatch.m_batch.m_value);
  const bool isVisible =
    placement != m_placements.end() &&
    !IsOfOtherCustomer(placement->second, aBatch.m_customer);
  return isVisible && owned != m_owned.end() ? owned->second : nullptr;
}

void
Batches::ReadResults(const ReadRequest& aRequest, ReadCallback aDone)
{
  if (const OwnedPtr owned = FindOwned(aRequest.m_batch)) {
    if (!owned->m_loaded) {
      EnsureLoading(owned);
      aDone(TemporarilyUnavailable{ "the batch is still loading" });
      return;
    }
    owned->m_pendingReads.push_back(
      { aRequest.m_firstPosition, aRequest.m_waitUntil, std::move(aDone) });
    AnswerPendingReads(owned);
    RunDueWork();
    return;
  }
  Locate(aRequest.m_batch, [aDone](const Location& aLocation) {
    std::visit(
      core::Overloaded{
        [&](const OwnedElsewhere& aOwner) { aDone(aOwner); },
        [&](const NoSuchBatch& aNone) { aDone(aNone); },
        [&](const TemporarilyUnavailable& aReason) { aDone(aReason); } },
      aLocation);
  });
}

void
Batches::ReadItemBody(const BatchReference& aBatch,
                      const ItemId& aItem,
                      BodyCallback aDone)
{
  const OwnedPtr owned = FindOwned(aBatch);
  if (!owned) {
    Locate(aBatch, [aDone](const Location& aLocation) {
      std::visit([&](const auto& aTyped) { aDone(aTyped); }, aLocation);
    });
    return;
  }
  if (!owned->m_loaded) {
    EnsureLoading(owned);
    aDone(TemporarilyUnavailable{ "the batch is still loading" });
    return;
  }
  const BatchRun& run = owned->m_run;
  const auto index = run.m_itemIndexes.find(aItem.m_value);
  if (index == run.m_itemIndexes.end()) {
    aDone(NoSuchBatch{});
    return;
  }
  aDone(ItemBody{ run.m_submission->m_items[index->second].m_body });
}

void
Batches::Locate(const BatchReference& aBatch,
                std::function<void(const Location&)> aDone)
{
  const auto known = m_placements.find(aBatch.m_batch.m_value);
  if (known != m_placements.end()) {
    aDone(ResolveLocation(known->second, aBatch.m_customer));
    return;
  }
  FetchPlacement(aBatch.m_batch,
                 [self = shared_from_this(),
                  customer = aBatch.m_customer,
                  aDone](const absl::StatusOr<Placement>& aPlacement) {
                   if (aPlacement.ok()) {
                     aDone(self->ResolveLocation(*aPlacement, customer));
                     return;
                   }
                   if (absl::IsNotFound(aPlacement.status())) {
                     aDone(NoSuchBatch{});
                     return;
                   }
                   aDone(TemporarilyUnavailable{
                     http::DescribeStatus(aPlacement.status()) });
                 });
}

Batches::Location
Batches::ResolveLocation(const Placement& aPlacement,
                         const core::CustomerId& aCustomer)
{
  if (IsOfOtherCustomer(aPlacement, aCustomer)) {
    return NoSuchBatch{};
  }
  if (aPlacement.m_owner == m_context.Self().m_host) {
    return TemporarilyUnavailable{ "the batch is still loading" };
  }
  if (!IsOrphaned(aPlacement)) {
    return OwnedElsewhere{ aPlacement.m_owner };
  }
  if (IsThisHostNextOwner(aPlacement.m_batch)) {
    TakeOverBatch(aPlacement);
  }
  return TemporarilyUnavailable{
    "the batch is being taken over by another host"
  };
}

void
Batches::EndBatch(const BatchReference& aReference, EndCallback aDone)
{
  const BatchId& batch = aReference.m_batch;
  const auto known = m_placements.find(batch.m_value);
  if (known == m_placements.end()) {
    FetchPlacement(batch,
                   [self = shared_from_this(), aReference, aDone](
                     const absl::StatusOr<Placement>& aPlacement) {
                     if (aPlacement.ok()) {
                       self->EndBatch(aReference, aDone);
                       return;
                     }
                     if (absl::IsNotFound(aPlacement.status())) {
                       aDone(NoSuchBatch{});
                       return;
                     }
                     aDone(TemporarilyUnavailable{
                       http::DescribeStatus(aPlacement.status()) });
                   });
    return;
  }
  if (IsOfOtherCustomer(known->second, aReference.m_customer)) {
    aDone(NoSuchBatch{});
    return;
  }
  if (known->second.m_ended) {
    aDone(BatchEnded{});
    return;
  }
  StopBatch(batch);
  m_pendingEnds.insert(batch.m_value);
  WriteEnd(batch, [batch, aDone](const absl::Status& aStatus) {
    kernel::LogEvent(
      kernel::LogLevel::Info,
      "batches",
      "end",
      { { "batch", batch.m_value },
        { "outcome",
          aStatus.ok() ? "ended" : http::DescribeStatus(aStatus) } });
    if (aStatus.ok()) {
      aDone(BatchEnded{});
    } else {
      aDone(TemporarilyUnavailable{ http::DescribeStatus(aStatus) });
    }
  });
}

void
Batches::WriteEnd(const BatchId& aBatch,
                  std::function<void(const absl::Status&)> aDone)
{
  Placement ended = m_placements.at(aBatch.m_value);
  ended.m_ended = true;
  WritePlacement(std::move(ended),
                 [self = shared_from_this(), aBatch, aDone](
                   const absl::StatusOr<uint64_t>& aVersion) {
                   if (!aVersion.ok()) {
                     // Reads the newer placement, so that another try can
                     // succeed.
                     self->FetchPlacement(
                       aBatch, [](const absl::StatusOr<Placement>&) {});
                   }
                   aDone(aVersion.status());
                 });
}

void
Batches::WritePendingEnds()
{
  for (const std::string& id : std::set(m_pendingEnds)) {
    const auto placement = m_placements.find(id);
    if (placement == m_placements.end() || placement->second.m_ended) {
      m_pendingEnds.erase(id);
      continue;
    }
    WriteEnd({ id }, [](const absl::Status&) {});
  }
}

void
Batches::StopBatch(const BatchId& aBatch)
{
  // The trainer no longer wants the batch, even if the store does not record
  // its end yet.
  const auto owned = m_owned.find(aBatch.m_value);
  if (owned != m_owned.end() && owned->second->m_loaded) {
    MarkBatchEnded(owned->second->m_run);
    AbortActiveRequests(*owned->second);
  }
}

} // namespace heatherdeal::batches
