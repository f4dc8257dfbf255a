#pragma once

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "boost/asio/executor_work_guard.hpp"

#include "kernel/loop.h"

namespace heatherdeal::kernel {

/// The threads that process requests, each with its own event loop.
class TrafficThreads
{
public:
  /// Starts aCount threads.
  explicit TrafficThreads(size_t aCount);
  ~TrafficThreads();
  TrafficThreads(const TrafficThreads&) = delete;
  TrafficThreads& operator=(const TrafficThreads&) = delete;

  size_t Count() const { return m_loops.size(); }
  boost::asio::io_context& Loop(size_t aIndex)
  {
    return m_loops[aIndex]->m_loop;
  }

  /// Returns the index of the next loop in round-robin order. Thread-safe.
  size_t NextIndex();

  /// Stops the loops and joins the threads.
  void Stop();

  /// Destroys the pending handlers of all loops. To be called after Stop.
  void DestroyHandlers();

private:
  struct TrafficLoop
  {
    kernel::Loop m_loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_workGuard{ boost::asio::make_work_guard(m_loop) };
    std::thread m_thread;
  };

  std::vector<std::unique_ptr<TrafficLoop>> m_loops;
  std::atomic<size_t> m_nextIndex{ 0 };
};

} // namespace heatherdeal::kernel
