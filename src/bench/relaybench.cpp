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

constexpr size_t kThreads = 1;
constexpr size_t kCallers = 16;
constexpr core::Duration kRunTime = seconds(3);
constexpr core::Duration kCallTime = seconds(5);

/// A process's HTTP side: loops, server, clients.
struct Process
{
  kernel::Context m_context{ { "bench", "d0", "", "127.0.0.1" }, kThreads };
  std::shared_ptr<http::Clients> m_clients =
    std::make_shared<http::Clients>(m_context);
  std::shared_ptr<http::Server> m_server;

  Process()
  {
    http::ServerSettings settings;
    settings.m_listen = { "127.0.0.1", 0 };
    m_server = std::make_shared<http::Server>(m_context, settings);
    m_context.Provide(m_clients);
    m_context.Provide(m_server);
  }

  core::Endpoint Self() const { return { "127.0.0.1", m_server->Port() }; }
};

boost::asio::awaitable<void>
AnswerShortly(http::Exchange& aExchange)
{
  http::Response answer;
  answer.m_body = "a short answer";
  co_await aExchange.RespondIgnoringErrors(std::move(answer));
}

/// What one caller saw.
struct Latencies
{
  std::vector<double> m_milliseconds;
  size_t m_failures = 0;
};

boost::asio::awaitable<Latencies>
CallRepeatedly(http::Client& aClient,
               core::Endpoint aPeer,
               std::string aTarget,
               core::Instant aEnd)
{
  Latencies latencies;
  while (kernel::Now() < aEnd) {
    http::Request request;
    request.m_target = aTarget;
    const core::Instant begin = kernel::Now();
    const absl::StatusOr<http::Response> answer = co_await aClient.Call(
      aPeer, std::move(request), http::Reuse::Allowed, begin + kCallTime);
    latencies.m_failures +=
      answer.ok() && answer->m_head.m_status == 200 ? 0 : 1;
    latencies.m_milliseconds.push_back(
      std::chrono::duration<double, std::milli>(kernel::Now() - begin).count());
  }
  co_return latencies;
}

boost::json::value
Measure(std::string_view aName,
        const core::Endpoint& aPeer,
        std::string aTarget)
{
  Process callers;
  const core::Instant end = kernel::Now() + kRunTime;
  std::vector<std::future<Latencies>> pending;
  for (size_t i = 0; i < kCallers; ++i) {
    pending.push_back(boost::asio::co_spawn(
      callers.m_context.Traffic().Loop(0),
      CallRepeatedly(callers.m_clients->ForLoop(0), aPeer, aTarget, end),
      boost::asio::use_future));
  }
  Latencies all;
  for (std::future<Latencies>& future : pending) {
    const Latencies one = future.get();
    all.m_failures += one.m_failures;
    all.m_milliseconds.insert(all.m_milliseconds.end(),
                              one.m_milliseconds.begin(),
                              one.m_milliseconds.end());
  }
  std::ranges::sort(all.m_milliseconds);
  const auto at = [&all](double aShare) {
    const auto last = static_cast<double>(all.m_milliseconds.size() - 1);
    return all.m_milliseconds[static_cast<size_t>(aShare * last)];
  };
  const double length = std::chrono::duration<double>(kRunTime).count();
  return { { "path", std::string(aName) },
           { "calls_per_second",
             static_cast<double>(all.m_milliseconds.size()) / length },
           { "failures", all.m_failures },
           { "p50_ms", at(0.5) },
           { "p99_ms", at(0.99) } };
}

/// Passes each request on and nothing else.
http::Handler
BareRelay(Process& aProcess, core::Endpoint aUpstream)
{
  return [&aProcess, aUpstream](
           http::Exchange& aExchange) -> boost::asio::awaitable<void> {
    http::Request request = aExchange.ReceivedRequest();
    request.m_headers.clear();
    absl::StatusOr<http::Response> answer =
      co_await aProcess.m_clients->ForLoop(aExchange.LoopIndex())
        .Call(aUpstream,
              std::move(request),
              http::Reuse::Allowed,
              kernel::Now() + kCallTime);
    http::Response reply;
    if (answer.ok()) {
      reply.m_body = std::move(answer->m_body);
    }
    co_await aExchange.RespondIgnoringErrors(std::move(reply));
  };
}

void
SetUpPool(Process& aProcess, const core::Endpoint& aUpstream)
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
  Process upstream;
  upstream.m_server->AddRoute({ "*", "/", AnswerShortly });
  Process relay;
  Process entry;
  if (!upstream.m_server->Listen().ok()) {
    return {};
  }
  relay.m_server->AddRoute({ "*", "/", BareRelay(relay, upstream.Self()) });
  SetUpPool(entry, upstream.Self());
  auto forwarder = std::make_shared<forwarding::Forwarder>(entry.m_context);
  entry.m_server->AddRoute(
    { "*", "/apps/", [forwarder](http::Exchange& aExchange) {
       return forwarder->Serve(aExchange);
     } });
  if (!relay.m_server->Listen().ok() || !entry.m_server->Listen().ok()) {
    return {};
  }
  std::string lines;
  for (const boost::json::value& line :
       { Measure("direct", upstream.Self(), "/x"),
         Measure("bare-relay", relay.Self(), "/x"),
         Measure("entry", entry.Self(), "/apps/desk/x") }) {
    lines += boost::json::serialize(line) + "\n";
  }
  return lines;
}

} // namespace heatherdeal::bench
