#pragma once

#include <memory>
#include <span>

#include "configuration/document.h"
#include "http/client.h"
#include "kernel/deadlinetimer.h"
#include "lease/leaseclient.h"
#include "objectstore/hosts.h"
#include "weights/wave.h"

namespace heatherdeal::weights {

/// Settings that all services share.
struct WeightsSettings
{
  lease::LeasePolicy m_lease;
  core::Duration m_orderTime = std::chrono::seconds(8);
};

/// Carries out the orders of one service. Control thread only.
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
  void Feed(const WaveEvent& aEvent);

  const WaveState& State() const { return m_state; }
  std::string_view WeightsName() const;

private:
  void Run(const OrderLoad& aEffect);
  void ObserveVersions(std::span<const objectstore::HostEntry> aHosts);

  kernel::Context& m_context;
  configuration::Service m_service;
  WaveState m_state;
  std::map<core::UpstreamId, core::Endpoint> m_endpoints;
  std::shared_ptr<lease::LeaseClient> m_lease;
  kernel::DeadlineTimer m_timer;
};

} // namespace heatherdeal::weights
