// Forwards calls through entry hosts over real sockets to failing upstreams.

#include "catch2/catch.hpp"

#include "forwarding/internal/forwarder.h"
#include "http/tests/loopback.h"
#include "objectstore/objectstore.h"
#include "standin/objectapi/objectapi.h"

namespace heatherdeal::forwarding {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs a simulated object API.
struct ObjectApiHost
{
  http::Loopback m_loopback{ http::AnyPort() };
  std::shared_ptr<standin::ObjectApi> m_api =
    std::make_shared<standin::ObjectApi>(m_loopback.Kernel());

  ObjectApiHost()
  {
    m_api->AddRoutes();
    m_loopback.Listen();
  }
};

/// An upstream that counts the requests that it runs.
struct CountingUpstream
{
  http::Loopback m_loopback{ http::AnyPort() };
  std::atomic<int> m_runCount{ 0 };

  CountingUpstream()
  {
    m_loopback.Http().AddRoute({ "*", "/", [this](http::Exchange& aExchange) {
                                  return Serve(aExchange);
                                } });
    m_loopback.Listen();
  }

  boost::asio::awaitable<void> Serve(http::Exchange& aExchange)
  {
    m_runCount.fetch_add(1);
    http::Response response;
    response.m_body = "ran";
    co_await aExchange.RespondIgnoringErrors(std::move(response));
  }
};

/// An entry host with the services "desk" and "model"; the latter has model
/// engines as upstreams.
struct EntryHost
{
  http::Loopback m_loopback{ http::AnyPort() };
  std::shared_ptr<routing::Router> m_router;
  std::shared_ptr<Forwarder> m_forwarder;

  explicit EntryHost(const ObjectApiHost& aObjectApi)
  {
    kernel::Context& context = m_loopback.Kernel();
    objectstore::ObjectStoreSettings settings;
    settings.m_endpoints = { aObjectApi.m_loopback.Self() };
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
    context.Provide(std::make_shared<quarantine::Quarantine>(context));
    m_forwarder = std::make_shared<Forwarder>(context);
    m_loopback.Http().AddRoute(
      { "*", "/apps/", [forwarder = m_forwarder](http::Exchange& aExchange) {
         return forwarder->Serve(aExchange);
       } });
    m_loopback.Listen();
  }

  void SetUpstreams(std::span<const core::Endpoint> aUpstreams,
                    bool aLeaving = false,
                    std::string_view aService = "desk",
                    std::span<const std::string> aSoftware = {})
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
      if (hosts.size() < aSoftware.size()) {
        host.m_softwareVersion.m_value = aSoftware[hosts.size()];
      }
      hosts.push_back(host);
    }
    m_router->SetHosts(hosts);
  }

  /// Asks the service "model" for a token stream, and returns all bytes of the
  /// response.
  std::string GenerateRaw(int aPrompt)
  {
    const std::string prompt =
      "{\"prompt\":\"" + std::to_string(aPrompt) + "\"}";
    return m_loopback.SendRaw(
      "POST /apps/model/v1/generate HTTP/1.1\r\nHost: h\r\n"
      "Connection: close\r\n"
      "X-Heatherdeal-Idempotent: true\r\nContent-Length: " +
        std::to_string(prompt.size()) + "\r\n\r\n" + prompt,
      false);
  }

  http::Response Call(std::string_view aMethod, std::string_view aRequestId)
  {
    http::Request request{ std::string(aMethod), "/apps/desk/x", {}, "{}" };
    if (!aRequestId.empty()) {
      request.m_headers.push_back(
        { "X-Heatherdeal-Request-Id", std::string(aRequestId) });
    }
    const auto response = m_loopback.Call(
      m_loopback.Self(), std::move(request), http::Reuse::Never, seconds(5));
    REQUIRE(response.ok());
    return *response;
  }
};

bool
BodyContains(const http::Response& aResponse, std::string_view aText)
{
  return aResponse.m_body.find(aText) != std::string::npos;
}

core::Endpoint
ClosedPort()
{
  const http::RawServer server("");
  return server.Endpoint();
}

} // namespace

TEST_CASE(
  "a non-idempotent call that may have run is not run by another entry host")
{
  const ObjectApiHost objectApi;
  EntryHost firstEntry(objectApi);
  EntryHost secondEntry(objectApi);
  const http::RawServer breaking("");
  CountingUpstream healthy;
  const core::Endpoint breakingOnly[] = { breaking.Endpoint() };
  firstEntry.SetUpstreams(breakingOnly);
  const auto firstResponse = firstEntry.Call("POST", "call-1");
  CHECK(firstResponse.m_head.m_status == 502);
  CHECK(BodyContains(firstResponse, "\"executed\":\"unknown\""));
  CHECK(breaking.Accepted() == 1);
  const core::Endpoint healthyOnly[] = { healthy.m_loopback.Self() };
  secondEntry.SetUpstreams(healthyOnly);
  const auto secondResponse = secondEntry.Call("POST", "call-1");
  CHECK(secondResponse.m_head.m_status == 409);
  CHECK(BodyContains(secondResponse, "already-submitted"));
  CHECK(BodyContains(secondResponse, "\"executed\":\"unknown\""));
  CHECK(healthy.m_runCount.load() == 0);
}

TEST_CASE("a completed call is not run again through any entry host")
{
  const ObjectApiHost objectApi;
  EntryHost firstEntry(objectApi);
  EntryHost secondEntry(objectApi);
  CountingUpstream upstream;
  const core::Endpoint upstreams[] = { upstream.m_loopback.Self() };
  firstEntry.SetUpstreams(upstreams);
  secondEntry.SetUpstreams(upstreams);
  CHECK(firstEntry.Call("POST", "call-2").m_body == "ran");
  CHECK(firstEntry.Call("POST", "call-2").m_head.m_status == 409);
  CHECK(secondEntry.Call("POST", "call-2").m_head.m_status == 409);
  CHECK(secondEntry.Call("POST", "call-3").m_body == "ran");
  CHECK(upstream.m_runCount.load() == 2);
}

TEST_CASE("a call that was reported as not run can be sent again")
{
  const ObjectApiHost objectApi;
  EntryHost entry(objectApi);
  const core::Endpoint closedUpstreams[] = { ClosedPort() };
  entry.SetUpstreams(closedUpstreams);
  const auto refusal = entry.Call("POST", "call-4");
  CHECK(BodyContains(refusal, "\"executed\":\"no\""));
  CountingUpstream upstream;
  const core::Endpoint openUpstreams[] = { upstream.m_loopback.Self() };
  entry.SetUpstreams(openUpstreams);
  // The record is released asynchronously, so the first requests may still be
  // refused; a real caller waits for Retry-After.
  std::string body;
  for (int i = 0; i < 50 && body != "ran"; ++i) {
    body = entry.Call("POST", "call-4").m_body;
  }
  CHECK(body == "ran");
  CHECK(upstream.m_runCount.load() == 1);
}

TEST_CASE("non-idempotent calls do not run while the object store is down")
{
  const ObjectApiHost objectApi;
  EntryHost entry(objectApi);
  CountingUpstream upstream;
  const core::Endpoint upstreams[] = { upstream.m_loopback.Self() };
  entry.SetUpstreams(upstreams);
  objectApi.m_api->SetFaults({ .m_down = true });
  const auto refusal = entry.Call("POST", "call-5");
  CHECK(refusal.m_head.m_status == 503);
  CHECK(BodyContains(refusal, "record-unavailable"));
  CHECK(BodyContains(refusal, "\"executed\":\"no\""));
  CHECK(upstream.m_runCount.load() == 0);
  // Idempotent calls need no submission record.
  CHECK(entry.Call("GET", "call-6").m_body == "ran");
}

TEST_CASE("an idempotent call is retried after a truncated response")
{
  const ObjectApiHost objectApi;
  EntryHost entry(objectApi);
  const http::RawServer truncating(
    "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nwrong");
  CountingUpstream healthy;
  const core::Endpoint bothUpstreams[] = { truncating.Endpoint(),
                                           healthy.m_loopback.Self() };
  entry.SetUpstreams(bothUpstreams);
  for (int i = 0; i < 10; ++i) {
    const auto response = entry.Call("GET", "");
    CHECK(response.m_head.m_status == 200);
    CHECK(response.m_body == "ran");
  }
  CHECK(truncating.Accepted() > 0);
}

TEST_CASE("a broken token stream is resumed at another engine")
{
  const ObjectApiHost objectApi;
  EntryHost entry(objectApi);
  const std::string line = "{\"tokens\":2,\"text\":\"a b \"}\n";
  const http::RawServer breaking(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1b\r\n" + line +
    "\r\n");
  REQUIRE(line.size() == 0x1b);
  http::Loopback healthy(http::AnyPort());
  std::atomic<int> resumedCount{ 0 };
  healthy.Http().AddRoute(
    { "POST",
      "/v1/generate",
      [&resumedCount](
        http::Exchange& aExchange) -> boost::asio::awaitable<void> {
        const std::string body(aExchange.ReceivedRequest().m_body);
        const bool isResumed =
          body.find("\"resume_tokens\":2") != std::string::npos;
        resumedCount.fetch_add(isResumed ? 1 : 0);
        const std::string tokens = isResumed
                                     ? "{\"tokens\":1,\"text\":\"c \"}\n"
                                     : "{\"tokens\":3,\"text\":\"a b c \"}\n";
        http::ResponseHead head;
        (void)co_await aExchange.StartStream(std::move(head));
        (void)co_await aExchange.Write(tokens);
        (void)co_await aExchange.Write("{\"end\":true,\"tokens\":3}\n");
        (void)co_await aExchange.Finish();
      } });
  healthy.Listen();
  const core::Endpoint bothUpstreams[] = { breaking.Endpoint(),
                                           healthy.Self() };
  entry.SetUpstreams(bothUpstreams, false, "model");
  for (int i = 0; i < 6; ++i) {
    const auto response =
      entry.m_loopback.Call(entry.m_loopback.Self(),
                            { "POST",
                              "/apps/model/v1/generate",
                              { { "X-Heatherdeal-Idempotent", "true" } },
                              "{\"prompt\":\"p" + std::to_string(i) + "\"}" },
                            http::Reuse::Never,
                            seconds(5));
    REQUIRE(response.ok());
    CHECK(response->m_head.m_status == 200);
    CHECK(BodyContains(*response, "c "));
    CHECK(BodyContains(*response, "\"end\":true"));
  }
  CHECK(resumedCount.load() > 0);
}

// Guards against the text or head of another upstream's error in the middle of
// a stream, and against a stream that ends as if it were complete.
TEST_CASE(
  "a stream that no engine can go on with is cut off, without the error "
  "of the next engine")
{
  const ObjectApiHost objectApi;
  EntryHost entry(objectApi);
  const http::RawServer breaking(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "1b\r\n{\"tokens\":2,\"text\":\"a b \"}\n\r\n");
  const std::string status = GENERATE("500 Internal Server Error",
                                      "503 Service Unavailable",
                                      "404 Not Found",
                                      "200 OK");
  const std::string body = status == "200 OK"
                             ? "Content-Length: 90\r\n\r\n{\"tokens\""
                             : "Content-Length: 11\r\n\r\nerror text!";
  const http::RawServer failing("HTTP/1.1 " + status + "\r\n" + body);
  const core::Endpoint bothUpstreams[] = { breaking.Endpoint(),
                                           failing.Endpoint() };
  entry.SetUpstreams(bothUpstreams, false, "model");
  int begunStreams = 0;
  for (int i = 0; i < 6; ++i) {
    const std::string received = entry.GenerateRaw(i);
    INFO(received);
    if (received.find("a b ") == std::string::npos) {
      CHECK(received.find("\r\n0\r\n\r\n") == std::string::npos);
      continue;
    }
    begunStreams += 1;
    CHECK(received.starts_with("HTTP/1.1 200"));
    CHECK(received.find("error text") == std::string::npos);
    CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
    CHECK_FALSE(received.ends_with("0\r\n\r\n"));
  }
  CHECK(begunStreams > 0);
}

// Guards against a stream that goes on at an engine of another software version
// (ORDER).
TEST_CASE("a token stream is resumed only at the software that began it")
{
  const ObjectApiHost objectApi;
  EntryHost entry(objectApi);
  const http::RawServer breaking(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "1b\r\n{\"tokens\":2,\"text\":\"a b \"}\n\r\n");
  const http::RawServer other(
    "HTTP/1.1 200 OK\r\nContent-Length: 49\r\n\r\n"
    "{\"tokens\":1,\"text\":\"c\"}\n{\"tokens\":1,\"end\":true}\n");
  const core::Endpoint upstreams[] = { breaking.Endpoint(), other.Endpoint() };
  const std::string software[] = { "v1", GENERATE("v1", "v2") };
  entry.SetUpstreams(upstreams, false, "model", software);
  bool isResumed = false;
  for (int i = 0; i < 6; ++i) {
    const std::string received = entry.GenerateRaw(i);
    const size_t begin = received.find("a b ");
    isResumed =
      isResumed || (begin != std::string::npos &&
                    received.find("\"c\"", begin) != std::string::npos);
  }
  CHECK(isResumed == (software[1] == "v1"));
}

TEST_CASE("a request is refused after it broke three upstreams")
{
  const ObjectApiHost objectApi;
  EntryHost entry(objectApi);
  std::vector<std::unique_ptr<http::RawServer>> servers;
  std::vector<core::Endpoint> upstreams;
  for (int i = 0; i < 5; ++i) {
    servers.push_back(std::make_unique<http::RawServer>(""));
    upstreams.push_back(servers.back()->Endpoint());
  }
  const auto countAccepted = [&servers] {
    int accepted = 0;
    for (const auto& server : servers) {
      accepted += server->Accepted();
    }
    return accepted;
  };
  entry.SetUpstreams(upstreams);
  entry.Call("GET", "");
  CHECK(countAccepted() == 3);
  CHECK(entry.Call("GET", "").m_head.m_status == 422);
  CHECK(countAccepted() == 3);
}

TEST_CASE(
  "leaving upstreams, unknown services and invalid request ids are rejected")
{
  const ObjectApiHost objectApi;
  EntryHost entry(objectApi);
  CountingUpstream upstream;
  const core::Endpoint upstreams[] = { upstream.m_loopback.Self() };
  entry.SetUpstreams(upstreams, true);
  const auto leavingResponse = entry.Call("GET", "");
  CHECK(leavingResponse.m_head.m_status == 503);
  CHECK(BodyContains(leavingResponse, "no-upstream"));
  CHECK(upstream.m_runCount.load() == 0);
  CHECK(entry.Call("POST", "a/b").m_head.m_status == 400);
  const auto unknownServiceResponse =
    entry.m_loopback.Call(entry.m_loopback.Self(),
                          { "GET", "/apps/nothing/x", {}, "" },
                          http::Reuse::Never,
                          seconds(5));
  REQUIRE(unknownServiceResponse.ok());
  CHECK(unknownServiceResponse->m_head.m_status == 404);
}

} // namespace heatherdeal::forwarding
