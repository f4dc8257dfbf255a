// Calls through entry hosts on real sockets, against upstreams that break.

#include "catch2/catch.hpp"

#include "forwarding/internal/forwarder.h"
#include "http/tests/loopback.h"
#include "objectstore/objectstore.h"
#include "standin/objectapi/objectapi.h"

namespace heatherdeal::forwarding {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The object API stand-in.
struct Platform
{
  http::Loopback m_loopback{ http::AnyPort() };
  std::shared_ptr<standin::ObjectApi> m_api =
    std::make_shared<standin::ObjectApi>(m_loopback.Kernel());

  Platform()
  {
    m_api->AddRoutes();
    m_loopback.Listen();
  }
};

/// An upstream that counts what it runs.
struct CountingUpstream
{
  http::Loopback m_loopback{ http::AnyPort() };
  std::atomic<int> m_runs{ 0 };

  CountingUpstream()
  {
    m_loopback.Http().AddRoute({ "*", "/", [this](http::Exchange& aExchange) {
                                  return Serve(aExchange);
                                } });
    m_loopback.Listen();
  }

  boost::asio::awaitable<void> Serve(http::Exchange& aExchange)
  {
    m_runs.fetch_add(1);
    http::Answer answer;
    answer.m_body = "ran";
    co_await aExchange.Reply(std::move(answer));
  }
};

/// An entry host with one service, "desk".
struct Entry
{
  http::Loopback m_loopback{ http::AnyPort() };
  std::shared_ptr<routing::Router> m_router;
  std::shared_ptr<Forwarder> m_forwarder;

  explicit Entry(const Platform& aPlatform)
  {
    kernel::Context& context = m_loopback.Kernel();
    objectstore::ObjectStoreSettings settings;
    settings.m_endpoints = { aPlatform.m_loopback.Self() };
    settings.m_callTimeout = milliseconds(500);
    settings.m_budget = { 1000.0, 1000.0 };
    context.Provide(
      std::make_shared<objectstore::ObjectStore>(context, settings));
    m_router = std::make_shared<routing::Router>("d0");
    context.Provide(m_router);
    configuration::Document document;
    configuration::Service service;
    service.m_name.m_value = "desk";
    service.m_callTimeout = seconds(2);
    configuration::Service engines = service;
    engines.m_name.m_value = "model";
    engines.m_kind = configuration::ModelEngines{ "weights" };
    document.m_services = { service, engines };
    m_router->SetDocument(document);
    m_forwarder = std::make_shared<Forwarder>(context);
    m_loopback.Http().AddRoute(
      { "*", "/apps/", [forwarder = m_forwarder](http::Exchange& aExchange) {
         return forwarder->Serve(aExchange);
       } });
    m_loopback.Listen();
  }

  void SetUpstreams(std::span<const core::Endpoint> aUpstreams,
                    bool aLeaving = false,
                    std::string_view aService = "desk")
  {
    std::vector<objectstore::HostEntry> hosts;
    for (const core::Endpoint& upstream : aUpstreams) {
      objectstore::HostEntry host;
      host.m_name = http::ToText(upstream);
      host.m_service = aService;
      host.m_endpoint = upstream;
      host.m_failureDomain.m_value = "d0";
      host.m_slots = 8;
      host.m_leaving = aLeaving;
      hosts.push_back(host);
    }
    m_router->SetHosts(hosts);
  }

  http::Answer Call(std::string_view aMethod, std::string_view aId)
  {
    http::Request request{ std::string(aMethod), "/apps/desk/x", {}, "{}" };
    if (!aId.empty()) {
      request.m_headers.push_back(
        { "X-Heatherdeal-Request-Id", std::string(aId) });
    }
    const auto answer = m_loopback.Call(
      m_loopback.Self(), std::move(request), http::Reuse::Never, seconds(5));
    REQUIRE(answer.ok());
    return *answer;
  }
};

bool
Says(const http::Answer& aAnswer, std::string_view aText)
{
  return aAnswer.m_body.find(aText) != std::string::npos;
}

core::Endpoint
ClosedPort()
{
  const http::RawServer server("");
  return server.Endpoint();
}

} // namespace

TEST_CASE("a call that broke its upstream is not run again by another entry")
{
  const Platform platform;
  Entry first(platform);
  Entry second(platform);
  const http::RawServer breaking("");
  CountingUpstream healthy;
  const core::Endpoint both[] = { breaking.Endpoint() };
  first.SetUpstreams(both);
  const auto broken = first.Call("POST", "call-1");
  CHECK(broken.m_head.m_status == 502);
  CHECK(Says(broken, "\"executed\":\"unknown\""));
  CHECK(breaking.Accepted() == 1);
  const core::Endpoint other[] = { healthy.m_loopback.Self() };
  second.SetUpstreams(other);
  const auto again = second.Call("POST", "call-1");
  CHECK(again.m_head.m_status == 409);
  CHECK(Says(again, "already-submitted"));
  CHECK(Says(again, "\"executed\":\"unknown\""));
  CHECK(healthy.m_runs.load() == 0);
}

TEST_CASE("an answered call is not run again, through either entry")
{
  const Platform platform;
  Entry first(platform);
  Entry second(platform);
  CountingUpstream upstream;
  const core::Endpoint one[] = { upstream.m_loopback.Self() };
  first.SetUpstreams(one);
  second.SetUpstreams(one);
  CHECK(first.Call("POST", "call-2").m_body == "ran");
  CHECK(first.Call("POST", "call-2").m_head.m_status == 409);
  CHECK(second.Call("POST", "call-2").m_head.m_status == 409);
  CHECK(second.Call("POST", "call-3").m_body == "ran");
  CHECK(upstream.m_runs.load() == 2);
}

TEST_CASE("a call said not to have run may be sent again")
{
  const Platform platform;
  Entry entry(platform);
  const core::Endpoint closed[] = { ClosedPort() };
  entry.SetUpstreams(closed);
  const auto refused = entry.Call("POST", "call-4");
  CHECK(Says(refused, "\"executed\":\"no\""));
  CountingUpstream upstream;
  const core::Endpoint open[] = { upstream.m_loopback.Self() };
  entry.SetUpstreams(open);
  // The release is on its way; a caller sends again after Retry-After.
  std::string body;
  for (int i = 0; i < 50 && body != "ran"; ++i) {
    body = entry.Call("POST", "call-4").m_body;
  }
  CHECK(body == "ran");
  CHECK(upstream.m_runs.load() == 1);
}

TEST_CASE("while the store is down, calls that may not be repeated do not run")
{
  const Platform platform;
  Entry entry(platform);
  CountingUpstream upstream;
  const core::Endpoint one[] = { upstream.m_loopback.Self() };
  entry.SetUpstreams(one);
  platform.m_api->SetFaults({ .m_down = true });
  const auto refused = entry.Call("POST", "call-5");
  CHECK(refused.m_head.m_status == 503);
  CHECK(Says(refused, "record-unavailable"));
  CHECK(Says(refused, "\"executed\":\"no\""));
  CHECK(upstream.m_runs.load() == 0);
  // Calls that may be repeated need no record.
  CHECK(entry.Call("GET", "call-6").m_body == "ran");
}

TEST_CASE("a call that may be repeated gets its answer from another upstream")
{
  const Platform platform;
  Entry entry(platform);
  const http::RawServer truncating(
    "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nwrong");
  CountingUpstream healthy;
  const core::Endpoint both[] = { truncating.Endpoint(),
                                  healthy.m_loopback.Self() };
  entry.SetUpstreams(both);
  for (int i = 0; i < 10; ++i) {
    const auto answer = entry.Call("GET", "");
    CHECK(answer.m_head.m_status == 200);
    CHECK(answer.m_body == "ran");
  }
  CHECK(truncating.Accepted() > 0);
}

TEST_CASE("a stream of tokens that breaks goes on at another engine")
{
  const Platform platform;
  Entry entry(platform);
  const std::string line = "{\"tokens\":2,\"text\":\"a b \"}\n";
  const http::RawServer breaking(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1b\r\n" + line +
    "\r\n");
  REQUIRE(line.size() == 0x1b);
  http::Loopback healthy(http::AnyPort());
  std::atomic<int> resumed{ 0 };
  healthy.Http().AddRoute(
    { "POST",
      "/v1/generate",
      [&resumed](http::Exchange& aExchange) -> boost::asio::awaitable<void> {
        const std::string& body = aExchange.Asked().m_body;
        const bool rest = body.find("\"resume_tokens\":2") != std::string::npos;
        resumed.fetch_add(rest ? 1 : 0);
        const std::string tokens = rest
                                     ? "{\"tokens\":1,\"text\":\"c \"}\n"
                                     : "{\"tokens\":3,\"text\":\"a b c \"}\n";
        http::AnswerHead head;
        (void)co_await aExchange.StartStream(std::move(head));
        (void)co_await aExchange.Write(tokens);
        (void)co_await aExchange.Write("{\"end\":true,\"tokens\":3}\n");
        (void)co_await aExchange.Finish();
      } });
  healthy.Listen();
  const core::Endpoint both[] = { breaking.Endpoint(), healthy.Self() };
  entry.SetUpstreams(both, false, "model");
  for (int i = 0; i < 6; ++i) {
    const auto answer =
      entry.m_loopback.Call(entry.m_loopback.Self(),
                            { "POST",
                              "/apps/model/v1/generate",
                              { { "X-Heatherdeal-Idempotent", "true" } },
                              "{\"prompt\":\"p" + std::to_string(i) + "\"}" },
                            http::Reuse::Never,
                            seconds(5));
    REQUIRE(answer.ok());
    CHECK(answer->m_head.m_status == 200);
    CHECK(Says(*answer, "c "));
    CHECK(Says(*answer, "\"end\":true"));
  }
  CHECK(resumed.load() > 0);
}

TEST_CASE("a request that breaks each upstream is refused after two")
{
  const Platform platform;
  Entry entry(platform);
  const http::RawServer a("");
  const http::RawServer b("");
  const http::RawServer c("");
  const core::Endpoint all[] = { a.Endpoint(), b.Endpoint(), c.Endpoint() };
  entry.SetUpstreams(all);
  entry.Call("GET", "");
  const int broken = a.Accepted() + b.Accepted() + c.Accepted();
  CHECK(broken == 2);
  CHECK(entry.Call("GET", "").m_head.m_status == 422);
  CHECK(a.Accepted() + b.Accepted() + c.Accepted() == broken);
}

TEST_CASE("leaving upstreams, unknown services and odd request ids")
{
  const Platform platform;
  Entry entry(platform);
  CountingUpstream upstream;
  const core::Endpoint one[] = { upstream.m_loopback.Self() };
  entry.SetUpstreams(one, true);
  const auto leaving = entry.Call("GET", "");
  CHECK(leaving.m_head.m_status == 503);
  CHECK(Says(leaving, "no-upstream"));
  CHECK(upstream.m_runs.load() == 0);
  CHECK(entry.Call("POST", "a/b").m_head.m_status == 400);
  const auto unknown =
    entry.m_loopback.Call(entry.m_loopback.Self(),
                          { "GET", "/apps/nothing/x", {}, "" },
                          http::Reuse::Never,
                          seconds(5));
  REQUIRE(unknown.ok());
  CHECK(unknown->m_head.m_status == 404);
}

} // namespace heatherdeal::forwarding
