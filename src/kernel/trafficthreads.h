#pragma once

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "boost/asio/executor_work_guard.hpp"

#include "kernel/loop.h"

namespace heatherdeal::kernel {

/// The threads that carry requests, each with a loop of its own.
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
    return m_loops[aIndex]->m_context;
  }

  /// The loops in turn; any thread may call.
  size_t NextIndex();

  /// Ends the loops and joins the threads.
  void Stop();

  /// Destroys what waits in the loops; only after Stop.
  void DestroyHandlers();

private:
  struct TrafficLoop
  {
    kernel::Loop m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_work{ boost::asio::make_work_guard(m_context) };
    std::thread m_thread;
  };

  std::vector<std::unique_ptr<TrafficLoop>> m_loops;
  std::atomic<size_t> m_next{ 0 };
};

} // namespace heatherdeal::kernel
