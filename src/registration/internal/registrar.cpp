#include "registration/internal/registrar.h"

#include "boost/json/serialize.hpp"

#include "http/exchange.h"
#include "kernel/eventlog.h"

namespace heatherdeal::registration {

namespace {

constexpr std::string_view kObjectKind = "hosts";
constexpr core::Duration kRetryAfter = std::chrono::milliseconds(500);

} // namespace

Registrar::Registrar(kernel::Context& aContext, RegistrationSettings aSettings)
  : m_context(aContext)
  , m_settings(std::move(aSettings))
  , m_retry(aContext.Control(), [this] { Start(); })
{
}

std::string
Registrar::Entry() const
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
Registrar::TryLater()
{
  m_retry.Set(kernel::Now() + kRetryAfter);
}

void
Registrar::Start()
{
  if (!m_settings.m_enabled) {
    return;
  }
  const objectstore::ObjectKey key{ std::string(kObjectKind),
                                    m_context.Self().m_host };
  m_context.Get<objectstore::ObjectStore>()->Read(
    key,
    objectstore::CallPriority::Configuration,
    [self =
       shared_from_this()](absl::StatusOr<objectstore::StoredObject> aObject) {
      if (!aObject.ok()) {
        self->TryLater();
        return;
      }
      // After a restart at the same address the stored entry is already
      // current.
      if (aObject->m_value != self->Entry()) {
        self->Write(aObject->m_version);
      }
    });
}

void
Registrar::Write(uint64_t aIfVersion)
{
  objectstore::ObjectKey key{ std::string(kObjectKind),
                              m_context.Self().m_host };
  m_context.Get<objectstore::ObjectStore>()->Write(
    std::move(key),
    aIfVersion,
    Entry(),
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
        self->TryLater();
      }
    });
}

} // namespace heatherdeal::registration
