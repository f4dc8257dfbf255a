#include "kernel/controlthread.h"

#include <ctime>

namespace heatherdeal::kernel {

core::Instant
Now()
{
  // Unlike the steady clock, the boot clock advances while the machine is
  // suspended, so that leases expire during a suspension.
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  const auto sinceBoot =
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return core::Instant(std::chrono::duration_cast<core::Duration>(sinceBoot));
}

int64_t
UnixMilliseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::chrono::steady_clock::time_point
ToSteady(core::Instant aInstant)
{
  if (aInstant == core::Instant::max()) {
    return std::chrono::steady_clock::time_point::max();
  }
  return std::chrono::steady_clock::now() + (aInstant - Now());
}

ControlThread::ControlThread()
  : m_workGuard(boost::asio::make_work_guard(m_loop))
{
}

void
ControlThread::Run()
{
  m_loop.run();
}

void
ControlThread::Stop()
{
  m_loop.stop();
}

} // namespace heatherdeal::kernel
