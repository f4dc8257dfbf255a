#include "kernel/shutdown.h"

namespace heatherdeal::kernel {

Shutdown::Hold
Shutdown::Acquire()
{
  m_holds.fetch_add(1);
  return Hold(this, [](Shutdown* aShutdown) { aShutdown->Release(); });
}

void
Shutdown::Request(std::function<void()> aOnIdle)
{
  m_onIdle = std::move(aOnIdle);
  m_requested.store(true);
  // The count starts at one for the process itself, so that it cannot fall
  // to zero before a shutdown was requested.
  Release();
}

void
Shutdown::Release()
{
  if (m_holds.fetch_sub(1) == 1) {
    m_onIdle();
  }
}

} // namespace heatherdeal::kernel
