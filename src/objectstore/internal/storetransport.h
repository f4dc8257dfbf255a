#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "boost/asio/awaitable.hpp"

#include "http/client.h"
#include "http/exchange.h"
#include "kernel/published.h"
#include "objectstore/objectstore.h"

namespace heatherdeal::objectstore {

/// Sends requests to the store, either directly or through another host while
/// the store cannot be reached from this one or rejects its calls with 429 or
/// 503. Runs on one traffic loop, except SetCallRelays.
class StoreTransport
{
public:
  StoreTransport(kernel::Context& aContext,
                 http::Client& aClient,
                 std::vector<core::Endpoint> aEndpoints);

  /// Returns the response of the store. A request that may have been executed
  /// is sent again through another host; the token of a conditional write shows
  /// whether the first attempt took effect.
  boost::asio::awaitable<absl::StatusOr<http::Response>> Send(
    http::Request aRequest,
    core::Instant aDeadline);

  /// True if calls avoid the direct path, because the store has rejected one.
  bool IsDirectSuspended() const;

  /// True if this host may call the store although relays report that it cannot
  /// be reached. Few such calls are made, because all hosts would make them.
  bool TryStartProbe();
  /// Permits the next such call at once, because the store has responded.
  void AllowProbe() { m_nextProbeAt = core::Instant{}; }

  /// Forwards a request of another host directly to the store.
  boost::asio::awaitable<void> ForwardRelayedCall(http::Exchange& aExchange);

  /// Calls aOnRecovered each time the store answers again after a call that got
  /// no answer.
  void SubscribeRecovery(std::function<void()> aOnRecovered)
  {
    m_onRecovered.push_back(std::move(aOnRecovered));
  }

  /// Sets the hosts to relay through. Any thread.
  void SetCallRelays(std::vector<core::Endpoint> aRelays);

private:
  boost::asio::awaitable<absl::StatusOr<http::Response>> SendDirect(
    const http::Request& aRequest,
    core::Instant aDeadline);
  /// Notices whether the store has fallen silent or answers again.
  void RecordAnswer(const absl::StatusOr<http::Response>& aResponse);
  boost::asio::awaitable<absl::StatusOr<http::Response>> SendViaRelays(
    const http::Request& aRequest,
    core::Instant aDeadline);

  kernel::Context& m_context;
  http::Client& m_client;
  std::vector<core::Endpoint> m_endpoints;
  size_t m_nextEndpoint = 0;
  size_t m_nextRelay = 0;
  /// Earliest time of the next attempt on the direct path, or through relays.
  core::Instant m_directRetryAt{};
  core::Instant m_relayRetryAt{};
  core::Instant m_nextProbeAt{};
  /// True if the last direct call got no answer.
  bool m_isSilent = false;
  std::vector<std::function<void()>> m_onRecovered;
  kernel::Published<std::vector<core::Endpoint>> m_relays;
};

} // namespace heatherdeal::objectstore
