#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

namespace heatherdeal::kernel {

/// Counts what a graceful shutdown waits for. The process ends when a
/// shutdown was requested and no hold is left.
class Shutdown
{
public:
  /// Keeps the process alive while it exists; any thread may drop it.
  using Hold = std::shared_ptr<void>;

  Hold Acquire();
  bool IsRequested() const { return m_requested.load(); }

  /// aOnIdle runs once, on the thread that drops the last hold.
  void Request(std::function<void()> aOnIdle);

private:
  void Release();

  std::atomic<bool> m_requested{ false };
  std::atomic<int64_t> m_holds{ 1 };
  std::function<void()> m_onIdle;
};

} // namespace heatherdeal::kernel
