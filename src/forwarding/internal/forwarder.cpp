#include "forwarding/internal/forwarder.h"

#include "forwarding/internal/call.h"

namespace heatherdeal::forwarding {

namespace {

constexpr std::string_view kPathPrefix = "/apps/";

std::string_view
ExtractServiceName(std::string_view aTarget)
{
  const std::string_view path =
    http::PathOf(aTarget).substr(kPathPrefix.size());
  return path.substr(0, path.find('/'));
}

} // namespace

Forwarder::Forwarder(kernel::Context& aContext)
  : m_context(aContext)
  , m_router(aContext.Get<routing::Router>())
  , m_clients(aContext.Get<http::Clients>())
  , m_quarantine(aContext.Get<quarantine::Quarantine>())
{
}

std::shared_ptr<ServiceState>
Forwarder::FindOrCreateServiceState(std::string_view aService)
{
  const std::scoped_lock lock(m_mutex);
  const auto existing = m_serviceStates.find(aService);
  if (existing != m_serviceStates.end()) {
    return existing->second;
  }
  auto state = std::make_shared<ServiceState>();
  m_serviceStates.emplace(std::string(aService), state);
  return state;
}

boost::asio::awaitable<void>
Forwarder::Serve(http::Exchange& aExchange)
{
  const std::string service(
    ExtractServiceName(aExchange.ReceivedRequest().m_target));
  std::shared_ptr<const routing::Pool> pool = m_router->FindPool(service);
  if (!pool) {
    http::Response response =
      http::MakeFailureResponse(core::NotFound{ service });
    co_await aExchange.RespondIgnoringErrors(std::move(response));
    co_return;
  }
  std::shared_ptr<ServiceState> state = FindOrCreateServiceState(service);
  if (state->m_inFlight.load() >= pool->m_service.m_maxConcurrentRequests) {
    m_context.Metrics().Get("forwarding.refused_overload").Add();
    http::Response response =
      http::MakeFailureResponse(core::Overload{ service });
    co_await aExchange.RespondIgnoringErrors(std::move(response));
    co_return;
  }
  m_context.Metrics().Get("forwarding.calls").Add();
  Call call(*this, aExchange, std::move(pool), std::move(state));
  co_await call.Forward();
}

} // namespace heatherdeal::forwarding
