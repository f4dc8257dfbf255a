#pragma once

#include <memory>
#include <vector>

#include "boost/asio/awaitable.hpp"

#include "http/client.h"
#include "http/exchange.h"
#include "kernel/published.h"
#include "objectstore/objectstore.h"

namespace heatherdeal::objectstore {

/// The way to the store: straight, or by way of another host while the store
/// turns this one away. Runs on one traffic loop, except SetPeers.
class StorePath
{
public:
  StorePath(kernel::Context& aContext,
            http::Client& aClient,
            std::vector<core::Endpoint> aEndpoints);

  /// The store's answer. A request that may have been carried out is sent
  /// again by another way: conditional writes carry a token that tells.
  boost::asio::awaitable<absl::StatusOr<http::Response>> Send(
    http::Request aRequest,
    core::Instant aDeadline);

  /// Carries a request of another host straight to the store.
  boost::asio::awaitable<void> Serve(http::Exchange& aExchange);

  /// Hosts that may reach the store where this one cannot; any thread.
  void SetPeers(std::vector<core::Endpoint> aPeers);

private:
  boost::asio::awaitable<absl::StatusOr<http::Response>> SendStraight(
    const http::Request& aRequest,
    core::Instant aDeadline);
  boost::asio::awaitable<absl::StatusOr<http::Response>> SendByPeers(
    const http::Request& aRequest,
    core::Instant aDeadline);

  kernel::Context& m_context;
  http::Client& m_client;
  std::vector<core::Endpoint> m_endpoints;
  size_t m_nextEndpoint = 0;
  size_t m_nextPeer = 0;
  /// Until when the straight way, or the way by others, is left alone.
  core::Instant m_straightRestsUntil{};
  core::Instant m_peersRestUntil{};
  kernel::Published<std::vector<core::Endpoint>> m_peers;
};

} // namespace heatherdeal::objectstore
