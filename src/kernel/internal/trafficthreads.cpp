#include "kernel/trafficthreads.h"

namespace heatherdeal::kernel {

TrafficThreads::TrafficThreads(size_t aCount)
{
  for (size_t i = 0; i < aCount; ++i) {
    m_loops.push_back(std::make_unique<TrafficLoop>());
    TrafficLoop& loop = *m_loops.back();
    loop.m_thread = std::thread([&loop] { loop.m_loop.run(); });
  }
}

TrafficThreads::~TrafficThreads()
{
  Stop();
}

size_t
TrafficThreads::NextIndex()
{
  return m_nextIndex.fetch_add(1, std::memory_order_relaxed) % m_loops.size();
}

void
TrafficThreads::Stop()
{
  for (const auto& loop : m_loops) {
    loop->m_loop.stop();
  }
  for (const auto& loop : m_loops) {
    if (loop->m_thread.joinable()) {
      loop->m_thread.join();
    }
  }
}

void
TrafficThreads::DestroyHandlers()
{
  for (const auto& loop : m_loops) {
    loop->m_loop.DestroyHandlers();
  }
}

} // namespace heatherdeal::kernel
