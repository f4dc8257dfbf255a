#include "kernel/context.h"

namespace heatherdeal::kernel {

Context::Context(Identity aIdentity, size_t aTrafficThreads)
  : m_identity(std::move(aIdentity))
  , m_traffic(aTrafficThreads)
{
}

Context::~Context()
{
  // Requests that wait in one loop hold sockets and timers of others: all
  // are destroyed while every loop and every service is still there.
  m_traffic.Stop();
  m_traffic.DestroyHandlers();
  m_control.Context().DestroyHandlers();
}

void
Context::Fail(absl::Status aStatus)
{
  m_failed = std::move(aStatus);
  m_control.Stop();
}

} // namespace heatherdeal::kernel
