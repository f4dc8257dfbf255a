#include "kernel/controlthread.h"

namespace heatherdeal::kernel {

core::Instant
Now()
{
  const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
  return core::Instant(std::chrono::duration_cast<core::Duration>(sinceStart));
}

std::chrono::steady_clock::time_point
ToSteady(core::Instant aInstant)
{
  return std::chrono::steady_clock::time_point(
    std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      aInstant.time_since_epoch()));
}

ControlThread::ControlThread()
  : m_work(boost::asio::make_work_guard(m_context))
{
}

void
ControlThread::Run()
{
  m_context.run();
}

void
ControlThread::Stop()
{
  m_context.stop();
}

} // namespace heatherdeal::kernel
