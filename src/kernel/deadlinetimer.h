#pragma once

#include <functional>
#include <memory>

#include "boost/asio/steady_timer.hpp"

#include "kernel/controlthread.h"

namespace heatherdeal::kernel {

/// Calls back on the control thread when its deadline has passed.
class DeadlineTimer
{
public:
  using Callback = std::function<void()>;

  DeadlineTimer(ControlThread& aControl, Callback aCallback);

  /// Replaces the deadline; the callback runs once for it.
  void Set(core::Instant aDeadline);
  void Cancel();

private:
  boost::asio::steady_timer m_timer;
  std::shared_ptr<Callback> m_callback;
};

} // namespace heatherdeal::kernel
