#include "kernel/deadlinetimer.h"

namespace heatherdeal::kernel {

DeadlineTimer::DeadlineTimer(ControlThread& aControl, Callback aCallback)
  : m_timer(aControl.EventLoop())
  , m_callback(std::make_shared<Callback>(std::move(aCallback)))
{
}

void
DeadlineTimer::Set(core::Instant aDeadline)
{
  m_timer.expires_at(ToSteady(aDeadline));
  m_timer.async_wait([weakCallback = std::weak_ptr(m_callback)](
                       boost::system::error_code aError) {
    const auto callback = weakCallback.lock();
    if (!aError && callback) {
      (*callback)();
    }
  });
}

void
DeadlineTimer::Cancel()
{
  m_timer.cancel();
}

} // namespace heatherdeal::kernel
