#include "batches/batches.h"

#include "batches/internal/batchjson.h"
#include "batches/internal/objectnames.h"
#include "core/overloaded.h"
#include "http/exchange.h"
#include "kernel/eventlog.h"

namespace heatherdeal::batches {

namespace {

// How long a placement write is retried while its outcome is unknown. By then a
// write whose response was lost has been applied or is rejected.
constexpr core::Duration kPlacementWriteTimeout = std::chrono::seconds(3);

std::string_view
ToLogText(const SubmitOutcome& aOutcome)
{
  return std::visit(
    core::Overloaded{
      [](const Accepted&) { return std::string_view("accepted"); },
      [](const NotAccepted&) { return std::string_view("not-accepted"); },
      [](const NoSuchBatch&) { return std::string_view("other-customer"); },
      [](const AcceptanceUnknown&) { return std::string_view("unknown"); } },
    aOutcome);
}

} // namespace

void
Batches::Submit(Submission aSubmission, SubmitCallback aDone)
{
  const std::string id = aSubmission.m_id.m_value;
  const auto known = m_placements.find(id);
  if (known != m_placements.end()) {
    if (IsOfOtherCustomer(known->second, aSubmission.m_customer)) {
      aDone(NoSuchBatch{});
      return;
    }
    aDone(Accepted{});
    return;
  }
  if (m_isHandingOver) {
    aDone(MakeRejection(aSubmission.m_id,
                        core::Draining{ m_context.Self().m_host }));
    return;
  }
  PendingSubmission& pending = m_pendingSubmissions[id];
  if (pending.m_callbacks.empty()) {
    pending.m_customer = aSubmission.m_customer;
  } else if (pending.m_customer != aSubmission.m_customer) {
    // Whether the batch will exist is not known yet.
    aDone(NotAccepted{ core::Overload{ "submissions of one batch" } });
    return;
  }
  pending.m_callbacks.push_back(std::move(aDone));
  if (pending.m_callbacks.size() > 1) {
    return;
  }
  StoreItems(std::make_shared<const Submission>(std::move(aSubmission)));
}

void
Batches::CompleteSubmission(const BatchId& aBatch,
                            const SubmitOutcome& aOutcome)
{
  const auto found = m_pendingSubmissions.find(aBatch.m_value);
  if (found == m_pendingSubmissions.end()) {
    return;
  }
  const std::vector<SubmitCallback> callbacks =
    std::move(found->second.m_callbacks);
  m_pendingSubmissions.erase(found);
  const auto* notAccepted = std::get_if<NotAccepted>(&aOutcome);
  kernel::LogEvent(
    kernel::LogLevel::Info,
    "batches",
    "submission",
    { { "batch", aBatch.m_value },
      { "outcome", ToLogText(aOutcome) },
      { "reason",
        notAccepted == nullptr ? ""
                               : core::Describe(notAccepted->m_failure) } });
  for (const SubmitCallback& done : callbacks) {
    done(aOutcome);
  }
}

void
Batches::StoreItems(std::shared_ptr<const Submission> aSubmission)
{
  m_store->Write({ std::string(kItemsKind), aSubmission->m_id.m_value },
                 0,
                 ToJson(*aSubmission),
                 objectstore::CallPriority::Lease,
                 [self = shared_from_this(),
                  aSubmission](const absl::StatusOr<uint64_t>& aVersion) {
                   // Stored items alone do not make a batch; it exists once its
                   // placement is stored.
                   const bool isStored = absl::IsAborted(aVersion.status());
                   if (isStored && self->HasCustomers()) {
                     self->CheckStoredItems(aSubmission);
                     return;
                   }
                   if (aVersion.ok() || isStored) {
                     self->CreatePlacement(
                       aSubmission, kernel::Now() + kPlacementWriteTimeout);
                     return;
                   }
                   self->CompleteSubmission(
                     aSubmission->m_id,
                     self->MakeRejection(aSubmission->m_id,
                                         http::FailureOf(aVersion.status())));
                 });
}

void
Batches::CheckStoredItems(std::shared_ptr<const Submission> aSubmission)
{
  m_store->Read({ std::string(kItemsKind), aSubmission->m_id.m_value },
                objectstore::CallPriority::Lease,
                [self = shared_from_this(), aSubmission](
                  const absl::StatusOr<objectstore::StoredObject>& aObject) {
                  if (!aObject.ok()) {
                    self->CompleteSubmission(
                      aSubmission->m_id,
                      self->MakeRejection(aSubmission->m_id,
                                          http::FailureOf(aObject.status())));
                    return;
                  }
                  // The next owner of the batch would load these items, so that
                  // they must not be another customer's.
                  const absl::StatusOr<Submission> stored =
                    ParseSubmission(aObject->m_value);
                  const bool isOfOtherCustomer =
                    stored.ok() &&
                    stored->m_customer != aSubmission->m_customer;
                  if (isOfOtherCustomer) {
                    self->CompleteSubmission(aSubmission->m_id, NoSuchBatch{});
                    return;
                  }
                  self->CreatePlacement(aSubmission,
                                        kernel::Now() + kPlacementWriteTimeout);
                });
}

void
Batches::AnswerFromStoredPlacement(
  const std::shared_ptr<const Submission>& aSubmission)
{
  if (!HasCustomers()) {
    FetchPlacement(aSubmission->m_id, [](const absl::StatusOr<Placement>&) {});
    CompleteSubmission(aSubmission->m_id, Accepted{});
    return;
  }
  FetchPlacement(
    aSubmission->m_id,
    [self = shared_from_this(),
     aSubmission](const absl::StatusOr<Placement>& aPlacement) {
      SubmitOutcome outcome = Accepted{};
      if (!aPlacement.ok()) {
        // The placement may be of a batch of another customer.
        outcome = AcceptanceUnknown{};
      } else if (IsOfOtherCustomer(*aPlacement, aSubmission->m_customer)) {
        outcome = NoSuchBatch{};
      }
      self->CompleteSubmission(aSubmission->m_id, outcome);
    });
}

bool
Batches::HasCustomers() const
{
  return !m_configuration->Read()->m_customers.empty();
}

SubmitOutcome
Batches::MakeRejection(const BatchId& aBatch, core::Failure aFailure) const
{
  // A later attempt that certainly failed says nothing about an earlier one
  // that the store may still execute.
  if (m_unconfirmedCreations.contains(aBatch.m_value)) {
    return AcceptanceUnknown{};
  }
  return NotAccepted{ std::move(aFailure) };
}

void
Batches::ForgetOldCreations()
{
  const core::Instant now = kernel::Now();
  std::erase_if(m_unconfirmedCreations, [now](const auto& aCreation) {
    return aCreation.second <= now;
  });
}

void
Batches::CreatePlacement(std::shared_ptr<const Submission> aSubmission,
                         core::Instant aDeadline)
{
  Placement placement;
  placement.m_batch = aSubmission->m_id;
  placement.m_owner = m_context.Self().m_host;
  placement.m_customer = aSubmission->m_customer;
  placement.m_acceptedAt = aSubmission->m_acceptedAt;
  m_store->Write(
    { std::string(kPlacementKind), aSubmission->m_id.m_value },
    0,
    ToJson(placement),
    objectstore::CallPriority::Lease,
    [self = shared_from_this(), aSubmission, aDeadline](
      const absl::StatusOr<uint64_t>& aVersion) {
      if (aVersion.ok()) {
        self->AdoptBatch(aSubmission, *aVersion);
        return;
      }
      if (absl::IsAborted(aVersion.status())) {
        // An earlier attempt or another host has stored the placement already.
        self->AnswerFromStoredPlacement(aSubmission);
        return;
      }
      self->HandleFailedCreation(
        aSubmission, http::FailureOf(aVersion.status()), aDeadline);
    });
}

void
Batches::HandleFailedCreation(std::shared_ptr<const Submission> aSubmission,
                              const core::Failure& aFailure,
                              core::Instant aDeadline)
{
  const BatchId& batch = aSubmission->m_id;
  if (core::ExecutedOf(aFailure) != core::Executed::No) {
    m_unconfirmedCreations[batch.m_value] =
      kernel::Now() + m_settings.m_retention;
  }
  SubmitOutcome outcome = MakeRejection(batch, aFailure);
  const bool isUnknown = std::holds_alternative<AcceptanceUnknown>(outcome);
  if (isUnknown && kernel::Now() < aDeadline) {
    // The store may be away for a moment only; a later attempt settles the
    // outcome.
    ScheduleRetry([self = shared_from_this(), aSubmission, aDeadline] {
      self->CreatePlacement(aSubmission, aDeadline);
    });
    return;
  }
  CompleteSubmission(batch, outcome);
}

void
Batches::AdoptBatch(std::shared_ptr<const Submission> aSubmission,
                    uint64_t aVersion)
{
  const std::string& id = aSubmission->m_id.m_value;
  auto owned = std::make_shared<OwnedBatch>();
  owned->m_id = aSubmission->m_id;
  owned->m_acceptedAt = ToMonotonic(aSubmission->m_acceptedAt);
  owned->m_run = MakeBatchRun(aSubmission, MakePolicy(*owned, *aSubmission));
  const bool inserted = m_owned.emplace(id, owned).second;
  Placement placement;
  placement.m_batch = aSubmission->m_id;
  placement.m_owner = m_context.Self().m_host;
  placement.m_customer = aSubmission->m_customer;
  placement.m_acceptedAt = aSubmission->m_acceptedAt;
  placement.m_version = aVersion;
  ApplyPlacement(std::move(placement));
  if (inserted && IsOwned(owned)) {
    ActivateBatch(owned, aSubmission);
  }
  CompleteSubmission(aSubmission->m_id, Accepted{});
  // Another host continues a batch whose placement was written while this host
  // handed its batches over.
  if (m_isHandingOver) {
    HandOver([](bool) {});
  }
}

} // namespace heatherdeal::batches
