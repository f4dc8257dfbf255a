#pragma once

#include "kernel/context.h"
#include "kernel/deadlinetimer.h"

namespace heatherdeal::lease {

/// Delays the shutdown of the process, so that leases that were just released
/// can be written to the store. Control thread only.
class ReleaseDelay
{
public:
  explicit ReleaseDelay(kernel::Context& aContext);

private:
  kernel::Shutdown::Hold m_hold;
  kernel::DeadlineTimer m_timer;
};

} // namespace heatherdeal::lease
