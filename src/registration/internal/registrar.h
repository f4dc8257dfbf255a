#pragma once

#include <memory>
#include <string>

#include "kernel/context.h"
#include "kernel/deadlinetimer.h"
#include "objectstore/objectstore.h"

namespace heatherdeal::registration {

/// Describes the entry of this process in the host list. Registration is
/// disabled if no service is configured.
struct RegistrationSettings
{
  bool m_enabled = false;
  std::string m_service;
  uint16_t m_port = 0;
  uint16_t m_gossipPort = 0;
};

/// Writes the entry of this process to the host list and retries until the
/// entry is stored. May be used on the control thread only.
class Registrar : public std::enable_shared_from_this<Registrar>
{
public:
  Registrar(kernel::Context& aContext, RegistrationSettings aSettings);

  /// Reads the stored entry and writes it if it differs.
  void EnsureRegistered();

private:
  /// Returns the entry of this process as JSON text.
  std::string SerializeEntry() const;
  void ScheduleRetry();
  /// Writes the entry if the stored object still has the given version.
  void WriteEntry(uint64_t aExpectedVersion);

  kernel::Context& m_context;
  RegistrationSettings m_settings;
  /// Number of reads of the stored entry.
  uint32_t m_attempts = 0;
  kernel::DeadlineTimer m_retryTimer;
};

} // namespace heatherdeal::registration
