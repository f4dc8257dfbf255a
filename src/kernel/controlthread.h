#pragma once

#include <functional>
#include <thread>

#include "boost/asio/executor_work_guard.hpp"
#include "boost/asio/post.hpp"

#include "core/instant.h"
#include "kernel/loop.h"

namespace heatherdeal::kernel {

/// The process's monotonic time, suspensions included. Decisions never call it.
core::Instant
Now();

/// The same instant on the clock that Asio timers use.
std::chrono::steady_clock::time_point
ToSteady(core::Instant aInstant);

/// The one thread that owns all control state.
class ControlThread
{
public:
  ControlThread();

  /// Runs the loop on the calling thread until Stop.
  void Run();
  void Stop();

  /// Runs aTask on the control thread; any thread may call.
  template<typename Task>
  void Post(Task&& aTask)
  {
    boost::asio::post(m_context, std::forward<Task>(aTask));
  }

  Loop& Context() { return m_context; }

private:
  Loop m_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    m_work;
};

} // namespace heatherdeal::kernel
