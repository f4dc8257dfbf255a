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

/// What an engine last said of itself. It lags behind.
struct EngineStatus
{
  core::UpstreamId m_engine;
  core::WeightVersion m_version;
  uint32_t m_running = 0;
  uint32_t m_queued = 0;
  bool m_leaving = false;
  core::Instant m_readAt{};
};

/// Asks engines for their load at intervals. Listeners run on the control
/// thread, once for each report.
class Reports : public std::enable_shared_from_this<Reports>
{
public:
  using Listener = std::function<void(const EngineStatus&)>;

  Reports(kernel::Context& aContext, core::Duration aInterval);

  /// Control thread only.
  void Subscribe(Listener aListener);
  /// Names the hosts to ask; those no longer named are asked no more.
  void SetEngines(std::span<const objectstore::HostEntry> aEngines);

  const std::map<core::UpstreamId, EngineStatus>& Latest() const
  {
    return m_latest;
  }

  /// True while the engine is to be asked; any thread.
  bool IsWanted(const core::UpstreamId& aEngine) const;
  /// Called on the control thread with each report.
  void Accept(const EngineStatus& aStatus);
  kernel::Context& Kernel() { return m_context; }
  core::Duration Interval() const { return m_interval; }

private:
  kernel::Context& m_context;
  core::Duration m_interval;
  std::vector<Listener> m_listeners;
  std::map<core::UpstreamId, EngineStatus> m_latest;
  kernel::Published<std::map<core::UpstreamId, core::Endpoint>> m_wanted;
};

} // namespace heatherdeal::reports
