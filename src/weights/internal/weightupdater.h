#pragma once

#include <memory>
#include <span>

#include "configuration/document.h"
#include "http/client.h"
#include "kernel/deadlinetimer.h"
#include "lease/actpermission.h"
#include "lease/leaseclient.h"
#include "objectstore/hosts.h"
#include "weights/assignment.h"
#include "weights/rollingupdate.h"

namespace heatherdeal::weights {

/// Settings that apply to all services.
struct WeightsSettings
{
  lease::LeasePolicy m_lease;
  core::Duration m_orderTimeout = std::chrono::seconds(8);
};

/// Runs the rolling updates of one service, one for each weight set, under a
/// single lease. Must be used on the control thread only.
class WeightUpdater : public std::enable_shared_from_this<WeightUpdater>
{
public:
  WeightUpdater(kernel::Context& aContext,
                const configuration::Service& aService,
                const WeightsSettings& aSettings);

  /// Starts to compete for the service's lease.
  void Start();
  /// Releases the lease and stops competing for it.
  void Resign();
  /// Sets the limits and the weight sets from the service's configuration.
  void SetService(const configuration::Service& aService);
  /// Sets the service's engines from the host list.
  void SetHosts(std::span<const objectstore::HostEntry> aHosts);
  /// Applies the event to the rolling update of one weight set. Ignored if the
  /// service does not serve the set.
  void HandleEvent(std::string_view aWeightSet,
                   const RollingUpdateEvent& aEvent);
  /// Applies the event to the rolling updates of all weight sets.
  void BroadcastEvent(const RollingUpdateEvent& aEvent);

  using RollingUpdates = std::map<std::string, RollingUpdateState, std::less<>>;
  const RollingUpdates& Updates() const { return m_updates; }

private:
  void OnLeaseGranted(const lease::LeaseGranted& aGrant);
  void OnLeaseExtended(core::Instant aActUntil);
  void OnLeaseLost();
  void Execute(std::string_view aWeightSet, const LoadOrder& aOrder);
  /// Updates the metrics that tell how far the engines are behind, and logs why
  /// no orders are sent.
  void ReportProgress();
  /// Logs a change of the reason why a weight set's orders are delayed.
  void ReportOrderDelay(std::string_view aWeightSet,
                        const RollingUpdateState& aState);
  /// Applies the versions from the host list.
  void ApplyListedVersions();
  /// Distributes the engines among the rolling updates.
  void DistributeEngines();

  kernel::Context& m_context;
  configuration::Service m_service;
  RollingUpdatePolicy m_policy;
  RollingUpdates m_updates;
  /// The entries of the service's engines in the host list.
  std::map<core::UpstreamId, objectstore::HostEntry> m_engines;
  Assignment m_assignment;
  std::shared_ptr<lease::LeaseClient> m_lease;
  /// The lease as it was granted and extended; empty if it is not held.
  std::optional<LeaseAcquired> m_grant;
  /// The permission for orders under the current lease; null before the first.
  std::shared_ptr<lease::ActPermission> m_permission;
  /// The reason that was logged last, by weight set.
  std::map<std::string, OrderDelay, std::less<>> m_loggedDelays;
  /// Since when an engine has served an older version than the target; empty if
  /// none does.
  std::optional<core::Instant> m_behindSince;
  kernel::DeadlineTimer m_timer;
};

} // namespace heatherdeal::weights
