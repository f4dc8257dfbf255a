#include "bench/relaybench.h"

#include <algorithm>
#include <ctime>
#include <future>
#include <string_view>
#include <vector>

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/use_future.hpp"
#include "boost/json/serialize.hpp"

#include "forwarding/internal/forwarder.h"
#include "http/server.h"

namespace heatherdeal::bench {

namespace {

using std::chrono::seconds;

constexpr size_t kTrafficThreads = 1;
constexpr size_t kConcurrentCallers = 16;
constexpr core::Duration kRunTime = seconds(3);
constexpr core::Duration kCallTimeout = seconds(5);

/// Holds what a process needs for HTTP: event loops, a server and clients.
struct HttpProcess
{
  kernel::Context m_context{ { "bench", "d0", "", "127.0.0.1" },
                             kTrafficThreads };
  std::shared_ptr<http::Clients> m_clients =
    std::make_shared<http::Clients>(m_context);
  std::shared_ptr<http::Server> m_server;

  HttpProcess()
  {
    http::ServerSettings settings;
    settings.m_listen = { "127.0.0.1", 0 };
    m_server = std::make_shared<http::Server>(m_context, settings);
    m_context.Provide(m_clients);
    m_context.Provide(m_server);
  }

  core::Endpoint ListenEndpoint() const
  {
    return { "127.0.0.1", m_server->Port() };
  }
};

boost::asio::awaitable<void>
SendShortResponse(http::Exchange& aExchange)
{
  http::Response response;
  response.m_body = "a short answer";
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

/// Holds the results of one or several callers.
struct CallResults
{
  std::vector<double> m_latenciesMs;
  size_t m_failures = 0;
};

/// Sends one request after another until aEnd.
boost::asio::awaitable<CallResults>
CallRepeatedly(http::Client& aClient,
               core::Endpoint aPeer,
               std::string aTarget,
               core::Instant aEnd)
{
  CallResults results;
  while (kernel::Now() < aEnd) {
    http::Request request;
    request.m_target = aTarget;
    const core::Instant begin = kernel::Now();
    const absl::StatusOr<http::Response> response = co_await aClient.Call(
      aPeer, std::move(request), http::Reuse::Allowed, begin + kCallTimeout);
    results.m_failures +=
      response.ok() && response->m_head.m_status == 200 ? 0 : 1;
    results.m_latenciesMs.push_back(
      std::chrono::duration<double, std::milli>(kernel::Now() - begin).count());
  }
  co_return results;
}

/// Calls aPeer from several concurrent callers and returns the throughput and
/// the latency percentiles.
boost::json::value
MeasurePath(std::string_view aPathName,
            const core::Endpoint& aPeer,
            std::string aTarget)
{
  HttpProcess callerProcess;
  const core::Instant end = kernel::Now() + kRunTime;
  std::vector<std::future<CallResults>> pendingResults;
  for (size_t i = 0; i < kConcurrentCallers; ++i) {
    pendingResults.push_back(boost::asio::co_spawn(
      callerProcess.m_context.Traffic().Loop(0),
      CallRepeatedly(callerProcess.m_clients->ForLoop(0), aPeer, aTarget, end),
      boost::asio::use_future));
  }
  CallResults allResults;
  for (std::future<CallResults>& pendingResult : pendingResults) {
    const CallResults callerResults = pendingResult.get();
    allResults.m_failures += callerResults.m_failures;
    allResults.m_latenciesMs.insert(allResults.m_latenciesMs.end(),
                                    callerResults.m_latenciesMs.begin(),
                                    callerResults.m_latenciesMs.end());
  }
  std::ranges::sort(allResults.m_latenciesMs);
  const auto percentile = [&allResults](double aShare) {
    const auto lastIndex =
      static_cast<double>(allResults.m_latenciesMs.size() - 1);
    return allResults.m_latenciesMs[static_cast<size_t>(aShare * lastIndex)];
  };
  const double runSeconds = std::chrono::duration<double>(kRunTime).count();
  return { { "path", std::string(aPathName) },
           { "calls_per_second",
             static_cast<double>(allResults.m_latenciesMs.size()) /
               runSeconds },
           { "failures", allResults.m_failures },
           { "p50_ms", percentile(0.5) },
           { "p99_ms", percentile(0.99) } };
}

/// Returns a handler that forwards each request without any routing.
http::Handler
MakeBareRelay(HttpProcess& aProcess, core::Endpoint aUpstream)
{
  return [&aProcess, aUpstream](
           http::Exchange& aExchange) -> boost::asio::awaitable<void> {
    http::Request request = aExchange.ReceivedRequest();
    request.m_headers.clear();
    absl::StatusOr<http::Response> upstreamResponse =
      co_await aProcess.m_clients->ForLoop(aExchange.LoopIndex())
        .Call(aUpstream,
              std::move(request),
              http::Reuse::Allowed,
              kernel::Now() + kCallTimeout);
    http::Response relayedResponse;
    if (upstreamResponse.ok()) {
      relayedResponse.m_body = std::move(upstreamResponse->m_body);
    }
    co_await aExchange.RespondIgnoringErrors(std::move(relayedResponse));
  };
}

/// Provides a router with one service, "desk", whose only host is aUpstream.
void
ProvideRouter(HttpProcess& aProcess, const core::Endpoint& aUpstream)
{
  auto router = std::make_shared<routing::Router>("d0");
  configuration::Document document;
  configuration::Service service;
  service.m_name.m_value = "desk";
  document.m_services = { service };
  router->SetDocument(document);
  objectstore::HostEntry host;
  host.m_name = "upstream";
  host.m_service = "desk";
  host.m_endpoint = aUpstream;
  host.m_failureDomain.m_value = "d0";
  host.m_slots = 64;
  router->SetHosts(std::span(&host, 1));
  aProcess.m_context.Provide(router);
}

} // namespace

std::string
RunRelayBench()
{
  HttpProcess upstream;
  upstream.m_server->AddRoute({ "*", "/", SendShortResponse });
  HttpProcess relay;
  HttpProcess entry;
  if (!upstream.m_server->Listen().ok()) {
    return {};
  }
  relay.m_server->AddRoute(
    { "*", "/", MakeBareRelay(relay, upstream.ListenEndpoint()) });
  ProvideRouter(entry, upstream.ListenEndpoint());
  entry.m_context.Provide(
    std::make_shared<quarantine::Quarantine>(entry.m_context));
  auto forwarder = std::make_shared<forwarding::Forwarder>(entry.m_context);
  entry.m_server->AddRoute(
    { "*", "/apps/", [forwarder](http::Exchange& aExchange) {
       return forwarder->Serve(aExchange);
     } });
  if (!relay.m_server->Listen().ok() || !entry.m_server->Listen().ok()) {
    return {};
  }
  std::string jsonLines;
  for (const boost::json::value& measurement :
       { MeasurePath("direct", upstream.ListenEndpoint(), "/x"),
         MeasurePath("bare-relay", relay.ListenEndpoint(), "/x"),
         MeasurePath("entry", entry.ListenEndpoint(), "/apps/desk/x") }) {
    jsonLines += boost::json::serialize(measurement) + "\n";
  }
  return jsonLines;
}

} // namespace heatherdeal::bench
