#pragma once

#include <memory>
#include <span>

#include "configuration/document.h"
#include "http/client.h"
#include "kernel/deadlinetimer.h"
#include "lease/leaseclient.h"
#include "objectstore/hosts.h"
#include "weights/assignment.h"
#include "weights/wave.h"

namespace heatherdeal::weights {

/// Settings that apply to all services.
struct WeightsSettings
{
  lease::LeasePolicy m_lease;
  core::Duration m_orderTime = std::chrono::seconds(8);
};

/// Runs the rolling updates of one service, one for each weight set, under a
/// single lease. Must be used on the control thread only.
class ServiceWeights : public std::enable_shared_from_this<ServiceWeights>
{
public:
  ServiceWeights(kernel::Context& aContext,
                 const configuration::Service& aService,
                 const WeightsSettings& aSettings);

  void Start();
  void Resign();
  void SetService(const configuration::Service& aService);
  void SetHosts(std::span<const objectstore::HostEntry> aHosts);
  /// Applies the event to the rolling update of one weight set. Ignored if the
  /// service does not serve the set.
  void Feed(std::string_view aWeights, const WaveEvent& aEvent);
  /// Applies the event to the rolling updates of all weight sets.
  void FeedAll(const WaveEvent& aEvent);

  using Waves = std::map<std::string, WaveState, std::less<>>;
  const Waves& States() const { return m_waves; }

private:
  void Run(std::string_view aWeights, const OrderLoad& aEffect);
  /// Applies the versions from the host list.
  void ObserveVersions();
  /// Distributes the engines among the rolling updates.
  void ShareEngines();

  kernel::Context& m_context;
  configuration::Service m_service;
  WavePolicy m_policy;
  Waves m_waves;
  /// The entries of the service's engines in the host list.
  std::map<core::UpstreamId, objectstore::HostEntry> m_engines;
  Assignment m_assignment;
  std::shared_ptr<lease::LeaseClient> m_lease;
  kernel::DeadlineTimer m_timer;
};

} // namespace heatherdeal::weights
