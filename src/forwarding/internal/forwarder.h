#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "forwarding/attempts.h"
#include "http/client.h"
#include "http/exchange.h"
#include "kernel/context.h"
#include "quarantine/quarantine.h"
#include "routing/pool.h"

namespace heatherdeal::forwarding {

/// State that all calls of this process to one service share.
struct ServiceState
{
  std::atomic<uint32_t> m_inFlight{ 0 };
  /// Guards the fields below.
  std::mutex m_mutex;
  RetryBudgetState m_budget;
};

/// Forwards callers' requests to upstreams. May be used on any traffic thread.
class Forwarder : public std::enable_shared_from_this<Forwarder>
{
public:
  explicit Forwarder(kernel::Context& aContext);

  /// Forwards a request whose path is /apps/SERVICE/PATH and sends the response
  /// to the caller.
  boost::asio::awaitable<void> Serve(http::Exchange& aExchange);

private:
  friend class Call;

  /// Returns the state of a service and creates it on first use.
  std::shared_ptr<ServiceState> FindOrCreateServiceState(
    std::string_view aService);

  kernel::Context& m_context;
  std::shared_ptr<routing::Router> m_router;
  std::shared_ptr<http::Clients> m_clients;
  std::shared_ptr<quarantine::Quarantine> m_quarantine;
  /// Guards the map below.
  std::mutex m_mutex;
  std::map<std::string, std::shared_ptr<ServiceState>, std::less<>>
    m_serviceStates;
};

} // namespace heatherdeal::forwarding
