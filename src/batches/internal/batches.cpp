#include "batches/batches.h"

#include "batches/internal/batchjson.h"
#include "batches/internal/objectnames.h"
#include "core/overloaded.h"
#include "http/exchange.h"
#include "kernel/eventlog.h"
#include "objectstore/hosts.h"

namespace heatherdeal::batches {

namespace {

constexpr core::Duration kHousekeeping = std::chrono::milliseconds(500);

} // namespace

Batches::Batches(kernel::Context& aContext, BatchesSettings aSettings)
  : m_context(aContext)
  , m_settings(aSettings)
  , m_store(aContext.Get<objectstore::ObjectStore>())
  , m_configuration(aContext.Get<configuration::ActiveConfiguration>())
  , m_gossip(aContext.Get<gossip::Gossip>())
  , m_relay(aContext.Get<relay::Relay>())
  , m_timer(aContext.Control(), [this] { Pump(); })
  , m_housekeeping(aContext.Control(),
                   [this] {
                     TakeOverOrphans();
                     Expire();
                     m_housekeeping.Set(kernel::Now() + kHousekeeping);
                   })
  , m_leaving(aContext.Control(),
              [this] { HandOver([this] { m_leavingHold.reset(); }); })
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
                   self->LearnPlacements(aObjects);
                 });
  m_context.Get<objectstore::Hosts>()->Subscribe(
    [self](std::span<const objectstore::HostEntry>) { self->Pump(); });
  m_configuration->Subscribe(
    [self](const configuration::Document&) { self->Pump(); });
  m_housekeeping.Set(kernel::Now() + kHousekeeping);
}

void
Batches::StartLeaving()
{
  if (!m_settings.m_enabled) {
    return;
  }
  m_leavingHold = m_context.Stopping().Acquire();
  m_leaving.Set(kernel::Now() + m_settings.m_drainTime);
}

void
Batches::Read(const ReadRequest& aRequest, ReadCallback aDone)
{
  const std::string& id = aRequest.m_batch.m_value;
  const auto owned = m_owned.find(id);
  if (owned != m_owned.end()) {
    if (!owned->second->m_loaded) {
      EnsureLoading(owned->second);
      aDone(CannotTell{ "the batch is being loaded" });
      return;
    }
    owned->second->m_waiters.push_back(
      { aRequest.m_after, aRequest.m_waitUntil, std::move(aDone) });
    AnswerWaiters(*owned->second);
    Pump();
    return;
  }
  Locate(aRequest.m_batch, [aDone](const Location& aLocation) {
    std::visit(
      core::Overloaded{ [&](const OwnedElsewhere& aOwner) { aDone(aOwner); },
                        [&](const NoSuchBatch& aNone) { aDone(aNone); },
                        [&](const CannotTell& aReason) { aDone(aReason); } },
      aLocation);
  });
}

void
Batches::ReadBody(const BatchId& aBatch,
                  const ItemId& aItem,
                  BodyCallback aDone)
{
  const auto owned = m_owned.find(aBatch.m_value);
  if (owned == m_owned.end()) {
    Locate(aBatch, [aDone](const Location& aLocation) {
      std::visit([&](const auto& aTyped) { aDone(aTyped); }, aLocation);
    });
    return;
  }
  if (!owned->second->m_loaded) {
    EnsureLoading(owned->second);
    aDone(CannotTell{ "the batch is being loaded" });
    return;
  }
  const BatchRun& run = owned->second->m_run;
  const auto index = run.m_indexes.find(aItem.m_value);
  if (index == run.m_indexes.end()) {
    aDone(NoSuchBatch{});
    return;
  }
  aDone(ItemBody{ run.m_submission->m_items[index->second].m_body });
}

void
Batches::Locate(const BatchId& aBatch,
                std::function<void(const Location&)> aDone)
{
  const auto known = m_placements.find(aBatch.m_value);
  if (known != m_placements.end()) {
    aDone(LocationOf(known->second));
    return;
  }
  Fetch(aBatch,
        [self = shared_from_this(),
         aDone](const absl::StatusOr<Placement>& aPlacement) {
          if (aPlacement.ok()) {
            aDone(self->LocationOf(*aPlacement));
            return;
          }
          if (absl::IsNotFound(aPlacement.status())) {
            aDone(NoSuchBatch{});
            return;
          }
          aDone(CannotTell{ http::DescribeStatus(aPlacement.status()) });
        });
}

Batches::Location
Batches::LocationOf(const Placement& aPlacement)
{
  if (aPlacement.m_owner == m_context.Self().m_host) {
    return CannotTell{ "the batch is being loaded" };
  }
  if (!IsOrphan(aPlacement)) {
    return OwnedElsewhere{ aPlacement.m_owner };
  }
  if (IsNextOwner(aPlacement.m_batch)) {
    TakeOver(aPlacement);
  }
  return CannotTell{ "the batch changes its owner" };
}

void
Batches::End(const BatchId& aBatch, EndCallback aDone)
{
  const auto known = m_placements.find(aBatch.m_value);
  if (known == m_placements.end()) {
    Fetch(aBatch,
          [self = shared_from_this(), aBatch, aDone](
            const absl::StatusOr<Placement>& aPlacement) {
            if (aPlacement.ok()) {
              self->End(aBatch, aDone);
              return;
            }
            if (absl::IsNotFound(aPlacement.status())) {
              aDone(NoSuchBatch{});
              return;
            }
            aDone(CannotTell{ http::DescribeStatus(aPlacement.status()) });
          });
    return;
  }
  if (known->second.m_ended) {
    aDone(BatchEnded{});
    return;
  }
  StopRunning(aBatch);
  Placement ended = known->second;
  ended.m_ended = true;
  Store(std::move(ended),
        [self = shared_from_this(), aBatch, aDone](
          const absl::StatusOr<uint64_t>& aVersion) {
          kernel::LogEvent(
            kernel::LogLevel::Info,
            "batches",
            "end",
            { { "batch", aBatch.m_value },
              { "outcome",
                aVersion.ok() ? "ended"
                              : http::DescribeStatus(aVersion.status()) } });
          if (aVersion.ok()) {
            aDone(BatchEnded{});
            return;
          }
          // A newer placement is read before the caller comes again.
          self->Fetch(aBatch, [](const absl::StatusOr<Placement>&) {});
          aDone(CannotTell{ http::DescribeStatus(aVersion.status()) });
        });
}

void
Batches::StopRunning(const BatchId& aBatch)
{
  // Its trainer has given the batch up, whether the store says so yet or not.
  const auto owned = m_owned.find(aBatch.m_value);
  if (owned != m_owned.end() && owned->second->m_loaded) {
    EndBatch(owned->second->m_run);
    AbortWork(*owned->second);
  }
}

} // namespace heatherdeal::batches
