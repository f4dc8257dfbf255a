#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "boost/json/value.hpp"

#include "kernel/context.h"
#include "kernel/deadlinetimer.h"
#include "limits/limits.h"
#include "routing/pool.h"

namespace heatherdeal::limits {

/// Keeps the hosts together within the limits that upstreams name in their
/// answers. The hosts share limits and demands by gossip; each of them paces
/// its own requests. May be used on the control thread only, except where a
/// function allows any thread.
class UpstreamLimits : public std::enable_shared_from_this<UpstreamLimits>
{
public:
  explicit UpstreamLimits(kernel::Context& aContext);

  /// Starts the exchange with other hosts.
  void Start();

  /// Records what an answer of the upstream says of its limit. Any thread.
  void ReportAnswer(const routing::Upstream& aUpstream,
                    const LimitStatement& aStatement);

  /// Returns the limits that are in force.
  boost::json::value Dump() const;

private:
  /// What this host has counted of a service's demand.
  struct MeasuredDemand
  {
    uint64_t m_countedCalls = 0;
    double m_requestsPerSecond = 0.0;
  };

  void HandleAnswer(core::UpstreamRun aUpstream,
                    const std::string& aUpstreamName,
                    const std::optional<double>& aRequestsPerSecond);
  /// Measures the demand of this host, and sets the rate of each upstream.
  void Update();
  void MeasureDemand(const routing::Pool& aPool, core::Duration aElapsed);
  void SetRates();
  DemandKey KeyOf(std::string_view aService) const;
  std::string ComposeMessage(size_t aMaxBytes);
  void ReceiveMessage(std::string_view aEncoded);

  kernel::Context& m_context;
  std::shared_ptr<routing::Router> m_router;
  LimitState m_state;
  uint64_t m_hostHash;
  core::Instant m_measuredAt{};
  std::map<std::string, MeasuredDemand, std::less<>> m_demandByService;
  kernel::DeadlineTimer m_updateTimer;
};

} // namespace heatherdeal::limits
