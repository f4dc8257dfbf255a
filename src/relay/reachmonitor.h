#pragma once

#include <atomic>
#include <memory>

#include "kernel/context.h"
#include "kernel/deadlinetimer.h"
#include "relay/reachability.h"
#include "routing/pool.h"

namespace heatherdeal::relay {

/// Finds out whether this host is cut off from the upstreams, by connecting to
/// some of them after a request got no answer, and until one accepts again.
class ReachMonitor : public std::enable_shared_from_this<ReachMonitor>
{
public:
  explicit ReachMonitor(kernel::Context& aContext);

  /// True if no upstream accepted a connection in the last check. Any thread.
  bool IsCutOff() const { return m_isCutOff.load(); }
  /// Reports a request that got no answer. Any thread.
  void ReportUnanswered();

private:
  // The functions below are for the control thread.
  void HandleEvent(const ReachabilityEvent& aEvent);
  /// Tries connections to a few upstreams that are drawn by lot.
  void StartCheck();

  kernel::Context& m_context;
  std::shared_ptr<routing::Router> m_router;
  Reachability m_state;
  kernel::DeadlineTimer m_checkTimer;
  /// Copy of the state for other threads.
  std::atomic<bool> m_isCutOff{ false };
};

} // namespace heatherdeal::relay
