#pragma once

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

#include "core/ids.h"
#include "core/instant.h"
#include "core/weightversion.h"
#include "kernel/context.h"
#include "kernel/published.h"
#include "objectstore/hosts.h"

namespace heatherdeal::reports {

/// The load and weight version that an engine last reported. It may be stale by
/// a polling interval or more.
struct EngineStatus
{
  core::UpstreamId m_engine;
  core::WeightVersion m_version;
  uint32_t m_running = 0;
  uint32_t m_queued = 0;
  bool m_leaving = false;
  core::Instant m_receivedAt{};
};

/// Polls engines for their load at a fixed interval. Listeners run on the
/// control thread, once for each report.
class EngineReports : public std::enable_shared_from_this<EngineReports>
{
public:
  using Listener = std::function<void(const EngineStatus&)>;

  EngineReports(kernel::Context& aContext, core::Duration aPollInterval);

  // The functions up to LatestStatuses() are for the control thread only.
  /// Calls the listener for each report from now on.
  void Subscribe(Listener aListener);
  /// Replaces the set of polled engines; polling of removed ones stops.
  void SetEngines(std::span<const objectstore::HostEntry> aEngines);

  /// Returns the latest status of each polled engine that has reported.
  const std::map<core::UpstreamId, EngineStatus>& LatestStatuses() const
  {
    return m_latestStatuses;
  }

  /// True while the engine is in the set of polled engines; any thread.
  bool IsPolled(const core::UpstreamId& aEngine) const;
  /// Stores a report and passes it to the listeners; control thread only. Drops
  /// reports of engines that are no longer polled.
  void PublishStatus(const EngineStatus& aStatus);
  kernel::Context& Kernel() { return m_context; }
  core::Duration PollInterval() const { return m_pollInterval; }

private:
  kernel::Context& m_context;
  core::Duration m_pollInterval;
  std::vector<Listener> m_listeners;
  std::map<core::UpstreamId, EngineStatus> m_latestStatuses;
  kernel::Published<std::map<core::UpstreamId, core::Endpoint>> m_polledEngines;
};

} // namespace heatherdeal::reports
