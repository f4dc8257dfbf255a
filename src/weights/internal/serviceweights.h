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

/// Settings that all services share.
struct WeightsSettings
{
  lease::LeasePolicy m_lease;
  core::Duration m_orderTime = std::chrono::seconds(8);
};

/// Carries out the orders to the engines of one service, for each set of
/// weights that they hold, under one lease. Control thread only.
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
  /// For the wave of one set of weights; ignored if there is none.
  void Feed(std::string_view aWeights, const WaveEvent& aEvent);
  /// For every wave.
  void FeedAll(const WaveEvent& aEvent);

  using Waves = std::map<std::string, WaveState, std::less<>>;
  const Waves& States() const { return m_waves; }

private:
  void Run(std::string_view aWeights, const OrderLoad& aEffect);
  void ObserveVersions();
  /// Tells each wave which engines it keeps up to date.
  void ShareEngines();

  kernel::Context& m_context;
  configuration::Service m_service;
  WavePolicy m_policy;
  Waves m_waves;
  /// The engines of the service, from the host list.
  std::map<core::UpstreamId, objectstore::HostEntry> m_engines;
  Assignment m_assignment;
  std::shared_ptr<lease::LeaseClient> m_lease;
  kernel::DeadlineTimer m_timer;
};

} // namespace heatherdeal::weights
