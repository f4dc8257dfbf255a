#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

#include "core/instant.h"

namespace heatherdeal::kernel {

/// Tracks the work that a graceful shutdown has to wait for. The shutdown is
/// complete when it has been requested and all holds are released. Thread-safe.
class Shutdown
{
public:
  /// Delays the end of the process until it is released, on any thread.
  using Hold = std::shared_ptr<void>;

  /// Returns a hold for work in progress.
  Hold Acquire();
  bool IsRequested() const { return m_requested.load(); }

  /// Returns when the process ends even if work is in progress; Instant::max()
  /// until a shutdown is requested.
  core::Instant Deadline() const { return m_deadline.load(); }

  /// Requests the shutdown. aOnIdle runs once, on the thread that releases the
  /// last hold. May be called once.
  void Request(core::Instant aDeadline, std::function<void()> aOnIdle);

private:
  void ReleaseHold();

  std::atomic<bool> m_requested{ false };
  std::atomic<core::Instant> m_deadline{ core::Instant::max() };
  std::atomic<int64_t> m_holdCount{ 1 };
  std::function<void()> m_onIdle;
};

} // namespace heatherdeal::kernel
