#pragma once

#include <functional>
#include <thread>

#include "boost/asio/executor_work_guard.hpp"
#include "boost/asio/post.hpp"

#include "core/instant.h"
#include "kernel/loop.h"

namespace heatherdeal::kernel {

/// Returns the monotonic time, which also advances while the machine is
/// suspended. Decisions receive the time as an argument instead of calling
/// this.
core::Instant
Now();

/// Returns the wall-clock time in Unix milliseconds, for times that other hosts
/// read. Hosts agree on it only roughly, and it may be set back.
int64_t
UnixMilliseconds();

/// Converts the instant to the clock that Asio timers use.
std::chrono::steady_clock::time_point
ToSteady(core::Instant aInstant);

/// Event loop of the single thread that owns all control state.
class ControlThread
{
public:
  ControlThread();

  /// Runs the event loop on the calling thread until Stop is called.
  void Run();
  void Stop();

  /// Queues aTask to run on the control thread. Thread-safe.
  template<typename Task>
  void Post(Task&& aTask)
  {
    boost::asio::post(m_loop, std::forward<Task>(aTask));
  }

  Loop& EventLoop() { return m_loop; }

private:
  Loop m_loop;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    m_workGuard;
};

} // namespace heatherdeal::kernel
