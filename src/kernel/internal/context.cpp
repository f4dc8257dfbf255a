#include "kernel/context.h"

namespace heatherdeal::kernel {

Context::Context(Identity aIdentity, size_t aTrafficThreads)
  : m_identity(std::move(aIdentity))
  , m_traffic(aTrafficThreads)
{
}

Context::~Context()
{
  // Pending requests of one loop may own sockets and timers of another loop.
  // Destroy all of them while every loop and every service still exists.
  m_traffic.Stop();
  m_traffic.DestroyHandlers();
  m_control.EventLoop().DestroyHandlers();
}

void
Context::StopWithFailure(absl::Status aStatus)
{
  m_failureStatus = std::move(aStatus);
  m_control.Stop();
}

} // namespace heatherdeal::kernel
