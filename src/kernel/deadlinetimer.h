#pragma once

#include <functional>
#include <memory>

#include "boost/asio/steady_timer.hpp"

#include "kernel/controlthread.h"

namespace heatherdeal::kernel {

/// Runs a callback on the control thread when a deadline has passed.
class DeadlineTimer
{
public:
  using Callback = std::function<void()>;

  DeadlineTimer(ControlThread& aControl, Callback aCallback);

  /// Sets the deadline and replaces an earlier one. The callback runs once per
  /// deadline that is reached.
  void Set(core::Instant aDeadline);
  /// Cancels the deadline, if one is set.
  void Cancel();

private:
  boost::asio::steady_timer m_timer;
  std::shared_ptr<Callback> m_callback;
};

} // namespace heatherdeal::kernel
