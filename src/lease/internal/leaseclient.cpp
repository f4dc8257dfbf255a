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
  , m_timer(aContext.Control(), [this] { Feed(StepDue{}); })
{
  m_state.m_policy = aPolicy;
  m_state.m_self = std::move(aSelf);
}

void
LeaseClient::Start()
{
  Feed(StepDue{});
}

void
LeaseClient::Resign()
{
  Feed(ResignRequested{});
}

void
LeaseClient::Feed(const LeaseEvent& aEvent)
{
  std::vector<LeaseEffect> effects;
  Apply(m_state, aEvent, kernel::Now(), effects);
  for (const LeaseEffect& effect : effects) {
    std::visit([this](const auto& aTyped) { Run(aTyped); }, effect);
  }
  const core::Instant next = NextDeadline(m_state);
  if (next != core::Instant::max()) {
    m_timer.Set(next);
  }
}

void
LeaseClient::Run(const ReadRecord& aEffect)
{
  using objectstore::Freshness;
  m_store->ReadWithFreshness(
    aEffect.m_latest ? Freshness::Latest : Freshness::MayBeStale,
    m_key,
    objectstore::CallPriority::Lease,
    [self =
       shared_from_this()](absl::StatusOr<objectstore::StoredObject> aObject) {
      if (!aObject.ok()) {
        self->Feed(ReadFailed{ http::FailureOf(aObject.status()) });
        return;
      }
      const absl::StatusOr<LeaseRecord> record = ParseRecord(*aObject);
      if (!record.ok()) {
        kernel::LogFailure(
          kernel::LogLevel::Error, "lease", http::FailureOf(record.status()));
        self->Feed(ReadFailed{ http::FailureOf(record.status()) });
        return;
      }
      self->Feed(RecordSeen{ *record });
    });
}

void
LeaseClient::Run(const WriteRecord& aEffect)
{
  m_store->Write(
    m_key,
    aEffect.m_ifVersion,
    ToJson(aEffect.m_record),
    objectstore::CallPriority::Lease,
    [self = shared_from_this()](absl::StatusOr<uint64_t> aVersion) {
      if (aVersion.ok()) {
        self->Feed(WriteSucceeded{ *aVersion });
        return;
      }
      self->Feed(WriteFailed{ http::FailureOf(aVersion.status()) });
    });
}

void
LeaseClient::Run(const LeaseGranted& aEffect)
{
  kernel::LogEvent(kernel::LogLevel::Info,
                   "lease",
                   "granted",
                   { { "lease", m_key.m_name }, { "epoch", aEffect.m_epoch } });
  m_callbacks.m_granted(aEffect.m_epoch);
}

void
LeaseClient::Run(const LeaseLost& aEffect)
{
  kernel::LogEvent(
    kernel::LogLevel::Info,
    "lease",
    "lost",
    { { "lease", m_key.m_name }, { "new_holder", aEffect.m_newHolder } });
  m_callbacks.m_lost(aEffect.m_newHolder);
}

} // namespace heatherdeal::lease
