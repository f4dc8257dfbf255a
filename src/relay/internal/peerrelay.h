#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "gossip/gossip.h"
#include "http/client.h"
#include "http/exchange.h"
#include "kernel/context.h"
#include "objectstore/hosts.h"
#include "relay/peers.h"
#include "relay/relay.h"

namespace heatherdeal::relay {

/// The response of an upstream that another host has passed on.
struct PeerResponse
{
  http::Response m_response;
  core::UpstreamId m_upstream;
};

/// Sends calls by way of other hosts while this host is cut off from the
/// upstreams, and serves the calls of such hosts. A call takes one such detour
/// at most.
class PeerRelay : public std::enable_shared_from_this<PeerRelay>
{
public:
  PeerRelay(kernel::Context& aContext,
            std::shared_ptr<const ReachMonitor> aReach);

  /// Tells other hosts, from now on, while this one is cut off. Control thread
  /// only.
  void Start();

  /// Returns the host that a call should go to; nothing if there is none that
  /// may reach the upstreams and is not in aTried. Any thread.
  std::optional<objectstore::HostEntry> ChoosePeer(
    std::span<const std::string> aTried,
    uint64_t aSequence) const;

  /// Sends the call to the host, which makes one attempt. Must be called on the
  /// thread of the loop.
  boost::asio::awaitable<absl::StatusOr<PeerResponse>> Send(
    size_t aLoopIndex,
    objectstore::HostEntry aPeer,
    const RoutedCall& aCall,
    core::Instant aDeadline);

  /// Serves a call of another host with aRelay.
  boost::asio::awaitable<void> Serve(http::Exchange& aExchange, Relay& aRelay);

private:
  boost::asio::awaitable<absl::StatusOr<RoutedResponse>> Execute(
    http::Exchange& aExchange,
    Relay& aRelay);
  void RecordOutcome(std::string_view aPeer, PeerOutcome aOutcome);

  kernel::Context& m_context;
  std::shared_ptr<const ReachMonitor> m_reach;
  std::shared_ptr<configuration::ActiveConfiguration> m_configuration;
  std::shared_ptr<objectstore::Hosts> m_hosts;
  std::shared_ptr<gossip::Gossip> m_gossip;
  std::shared_ptr<http::Clients> m_clients;
  /// Guards m_peers.
  mutable std::mutex m_mutex;
  PeerTable m_peers;
};

} // namespace heatherdeal::relay
