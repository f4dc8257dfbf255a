#include "kernel/shutdown.h"

namespace heatherdeal::kernel {

Shutdown::Hold
Shutdown::Acquire()
{
  m_holdCount.fetch_add(1);
  return Hold(this, [](Shutdown* aShutdown) { aShutdown->ReleaseHold(); });
}

void
Shutdown::Request(core::Instant aDeadline, std::function<void()> aOnIdle)
{
  m_onIdle = std::move(aOnIdle);
  m_deadline.store(aDeadline);
  m_requested.store(true);
  // The count starts at one, for the process itself, so that it does not reach
  // zero before a shutdown is requested.
  ReleaseHold();
}

void
Shutdown::ReleaseHold()
{
  if (m_holdCount.fetch_sub(1) == 1) {
    m_onIdle();
  }
}

} // namespace heatherdeal::kernel
