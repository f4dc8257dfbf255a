#include "registration/internal/registrar.h"

#include "boost/json/serialize.hpp"

#include "http/exchange.h"
#include "kernel/eventlog.h"

namespace heatherdeal::registration {

namespace {

constexpr std::string_view kHostsKind = "hosts";
constexpr core::Duration kRetryDelay = std::chrono::milliseconds(500);

} // namespace

Registrar::Registrar(kernel::Context& aContext, RegistrationSettings aSettings)
  : m_context(aContext)
  , m_settings(std::move(aSettings))
  , m_retryTimer(aContext.Control(), [this] { EnsureRegistered(); })
{
}

std::string
Registrar::SerializeEntry() const
{
  const kernel::Identity& self = m_context.Self();
  const boost::json::value entry{ { "service", m_settings.m_service },
                                  { "address", self.m_address },
                                  { "port", m_settings.m_port },
                                  { "gossip_port", m_settings.m_gossipPort },
                                  { "failure_domain", self.m_failureDomain } };
  return boost::json::serialize(entry);
}

void
Registrar::ScheduleRetry()
{
  m_retryTimer.Set(kernel::Now() + kRetryDelay);
}

void
Registrar::EnsureRegistered()
{
  if (!m_settings.m_enabled) {
    return;
  }
  const objectstore::ObjectKey key{ std::string(kHostsKind),
                                    m_context.Self().m_host };
  // A stale read is enough for the first attempt: the write fails if the entry
  // has changed since, and the next read is a current one.
  const objectstore::Freshness freshness =
    m_attempts == 0 ? objectstore::Freshness::MayBeStale
                    : objectstore::Freshness::Latest;
  m_attempts += 1;
  m_context.Get<objectstore::ObjectStore>()->ReadWithFreshness(
    freshness,
    key,
    objectstore::CallPriority::Configuration,
    [self =
       shared_from_this()](absl::StatusOr<objectstore::StoredObject> aObject) {
      if (!aObject.ok()) {
        self->ScheduleRetry();
        return;
      }
      // After a restart at the same address the stored entry is still valid and
      // is not written again.
      if (aObject->m_value != self->SerializeEntry()) {
        self->WriteEntry(aObject->m_version);
      }
    });
}

void
Registrar::WriteEntry(uint64_t aExpectedVersion)
{
  objectstore::ObjectKey key{ std::string(kHostsKind),
                              m_context.Self().m_host };
  m_context.Get<objectstore::ObjectStore>()->Write(
    std::move(key),
    aExpectedVersion,
    SerializeEntry(),
    objectstore::CallPriority::Configuration,
    [self = shared_from_this()](absl::StatusOr<uint64_t> aVersion) {
      kernel::LogEvent(
        kernel::LogLevel::Info,
        "registration",
        aVersion.ok() ? "registered" : "registration-failed",
        { { "service", self->m_settings.m_service },
          { "outcome",
            aVersion.ok() ? std::to_string(*aVersion)
                          : http::DescribeStatus(aVersion.status()) } });
      if (!aVersion.ok()) {
        self->ScheduleRetry();
      }
    });
}

} // namespace heatherdeal::registration
