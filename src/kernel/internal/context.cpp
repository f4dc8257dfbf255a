#include "kernel/context.h"

namespace heatherdeal::kernel {

Context::Context(Identity aIdentity, size_t aTrafficThreads)
  : m_identity(std::move(aIdentity))
  , m_traffic(aTrafficThreads)
{
}

void
Context::Fail(absl::Status aStatus)
{
  m_failed = std::move(aStatus);
  m_control.Stop();
}

} // namespace heatherdeal::kernel
