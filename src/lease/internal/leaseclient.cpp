#include "lease/leaseclient.h"

#include "http/exchange.h"
#include "kernel/eventlog.h"
#include "lease/internal/leaserecord.h"

namespace heatherdeal::lease {

LeaseClient::LeaseClient(kernel::Context& aContext,
                         objectstore::ObjectKey aKey,
                         LeasePolicy aPolicy,
                         std::string aSelf,
                         LeaseCallbacks aCallbacks)
  : m_store(aContext.Get<objectstore::ObjectStore>())
  , m_key(std::move(aKey))
  , m_callbacks(std::move(aCallbacks))
  , m_timer(aContext.Control(), [this] { HandleEvent(DeadlineReached{}); })
{
  m_state.m_policy = aPolicy;
  m_state.m_self = std::move(aSelf);
}

void
LeaseClient::Start()
{
  HandleEvent(DeadlineReached{});
}

void
LeaseClient::Resign()
{
  HandleEvent(ResignRequested{});
}

void
LeaseClient::HandleEvent(const LeaseEvent& aEvent)
{
  std::vector<LeaseEffect> effects;
  Apply(m_state, aEvent, kernel::Now(), effects);
  for (const LeaseEffect& effect : effects) {
    std::visit([this](const auto& aTyped) { Execute(aTyped); }, effect);
  }
  const core::Instant nextDeadline = NextDeadline(m_state);
  if (nextDeadline != core::Instant::max()) {
    m_timer.Set(nextDeadline);
  }
}

void
LeaseClient::Execute(const ReadRecord& aEffect)
{
  using objectstore::Freshness;
  m_store->ReadWithFreshness(
    aEffect.m_requireLatest ? Freshness::Latest : Freshness::MayBeStale,
    m_key,
    objectstore::CallPriority::Lease,
    [self =
       shared_from_this()](absl::StatusOr<objectstore::StoredObject> aObject) {
      if (!aObject.ok()) {
        self->HandleEvent(ReadFailed{ http::FailureOf(aObject.status()) });
        return;
      }
      const absl::StatusOr<LeaseRecord> record = ParseLeaseRecord(*aObject);
      if (!record.ok()) {
        kernel::LogFailure(
          kernel::LogLevel::Error, "lease", http::FailureOf(record.status()));
        self->HandleEvent(ReadFailed{ http::FailureOf(record.status()) });
        return;
      }
      self->HandleEvent(ReadSucceeded{ *record });
    });
}

void
LeaseClient::Execute(const WriteRecord& aEffect)
{
  m_store->Write(
    m_key,
    aEffect.m_ifVersion,
    ToJson(aEffect.m_record),
    objectstore::CallPriority::Lease,
    [self = shared_from_this()](absl::StatusOr<uint64_t> aVersion) {
      if (aVersion.ok()) {
        self->HandleEvent(WriteSucceeded{ *aVersion });
        return;
      }
      self->HandleEvent(WriteFailed{ http::FailureOf(aVersion.status()) });
    });
}

void
LeaseClient::Execute(const LeaseGranted& aEffect)
{
  kernel::LogEvent(kernel::LogLevel::Info,
                   "lease",
                   "granted",
                   { { "lease", m_key.m_name }, { "epoch", aEffect.m_epoch } });
  m_callbacks.m_onGranted(aEffect);
}

void
LeaseClient::Execute(const LeaseExtended& aEffect)
{
  if (m_callbacks.m_onExtended) {
    m_callbacks.m_onExtended(aEffect);
  }
}

void
LeaseClient::Execute(const LeaseLost& aEffect)
{
  kernel::LogEvent(
    kernel::LogLevel::Info,
    "lease",
    "lost",
    { { "lease", m_key.m_name }, { "new_holder", aEffect.m_newHolder } });
  m_callbacks.m_onLost(aEffect.m_newHolder);
}

} // namespace heatherdeal::lease
