#include "forwarding/internal/forwarder.h"

#include "forwarding/internal/call.h"

namespace heatherdeal::forwarding {

namespace {

constexpr std::string_view kPrefix = "/apps/";

std::string_view
ServiceOf(std::string_view aTarget)
{
  const std::string_view rest = http::PathOf(aTarget).substr(kPrefix.size());
  return rest.substr(0, rest.find('/'));
}

} // namespace

Forwarder::Forwarder(kernel::Context& aContext)
  : m_context(aContext)
  , m_router(aContext.Get<routing::Router>())
  , m_clients(aContext.Get<http::Clients>())
{
}

std::shared_ptr<ServiceMeter>
Forwarder::MeterOf(std::string_view aService)
{
  const std::scoped_lock lock(m_mutex);
  const auto found = m_meters.find(aService);
  if (found != m_meters.end()) {
    return found->second;
  }
  auto meter = std::make_shared<ServiceMeter>();
  m_meters.emplace(std::string(aService), meter);
  return meter;
}

boost::asio::awaitable<void>
Forwarder::Serve(http::Exchange& aExchange)
{
  const std::string service(ServiceOf(aExchange.Asked().m_target));
  std::shared_ptr<const routing::Pool> pool = m_router->Find(service);
  if (!pool) {
    http::Answer answer = http::FailureAnswer(core::NotFound{ service });
    co_await aExchange.Reply(std::move(answer));
    co_return;
  }
  std::shared_ptr<ServiceMeter> meter = MeterOf(service);
  if (meter->m_inFlight.load() >= pool->m_service.m_maxConcurrentRequests) {
    m_context.Metrics().Get("forwarding.refused_overload").Add();
    http::Answer answer = http::FailureAnswer(core::Overload{ service });
    co_await aExchange.Reply(std::move(answer));
    co_return;
  }
  m_context.Metrics().Get("forwarding.calls").Add();
  Call call(*this, aExchange, std::move(pool), std::move(meter));
  co_await call.Run();
}

} // namespace heatherdeal::forwarding
