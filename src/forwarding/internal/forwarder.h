#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "forwarding/attempts.h"
#include "forwarding/quarantine.h"
#include "http/client.h"
#include "http/exchange.h"
#include "kernel/context.h"
#include "routing/pool.h"

namespace heatherdeal::forwarding {

/// What the calls of a process to one service share.
struct ServiceMeter
{
  std::atomic<uint32_t> m_inFlight{ 0 };
  std::mutex m_mutex;
  RetryBudgetState m_budget;
  QuarantineState m_quarantine;
};

/// Carries callers' requests to upstreams. Any traffic thread.
class Forwarder : public std::enable_shared_from_this<Forwarder>
{
public:
  explicit Forwarder(kernel::Context& aContext);

  /// Serves a request whose path is /apps/SERVICE/REST.
  boost::asio::awaitable<void> Serve(http::Exchange& aExchange);

private:
  friend class Call;

  std::shared_ptr<ServiceMeter> MeterOf(std::string_view aService);

  kernel::Context& m_context;
  std::shared_ptr<routing::Router> m_router;
  std::shared_ptr<http::Clients> m_clients;
  std::mutex m_mutex;
  std::map<std::string, std::shared_ptr<ServiceMeter>, std::less<>> m_meters;
};

} // namespace heatherdeal::forwarding
