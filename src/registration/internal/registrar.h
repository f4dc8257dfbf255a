#pragma once

#include <memory>
#include <string>

#include "kernel/context.h"
#include "kernel/deadlinetimer.h"
#include "objectstore/objectstore.h"

namespace heatherdeal::registration {

/// What this process tells of itself.
struct RegistrationSettings
{
  bool m_enabled = false;
  std::string m_service;
  uint16_t m_port = 0;
  uint16_t m_gossipPort = 0;
};

/// Writes the entry of this process and tries again until it stands.
/// Control thread only.
class Registrar : public std::enable_shared_from_this<Registrar>
{
public:
  Registrar(kernel::Context& aContext, RegistrationSettings aSettings);

  void Start();

private:
  std::string Entry() const;
  void TryLater();
  void Write(uint64_t aIfVersion);

  kernel::Context& m_context;
  RegistrationSettings m_settings;
  kernel::DeadlineTimer m_retry;
};

} // namespace heatherdeal::registration
