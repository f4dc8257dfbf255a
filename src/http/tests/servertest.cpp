#include "boost/asio/co_spawn.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/asio/use_future.hpp"
#include "catch2/catch.hpp"

#include "http/tests/crashingserver.h"
#include "http/tests/loopback.h"
#include "http/tests/stutteringserver.h"

namespace heatherdeal::http {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ServerSettings
SmallLimitSettings()
{
  ServerSettings settings;
  settings.m_listen = { "127.0.0.1", 0 };
  settings.m_maxHeaderBytes = 1024;
  settings.m_maxBodyBytes = 64;
  settings.m_requestTimeout = milliseconds(300);
  settings.m_idleTimeout = seconds(5);
  return settings;
}

boost::asio::awaitable<void>
EchoBody(Exchange& aExchange)
{
  Response response;
  response.m_body = aExchange.ReceivedRequest().m_body;
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

boost::asio::awaitable<void>
ThrowException(Exchange&)
{
  throw std::runtime_error("handler");
  co_return;
}

boost::asio::awaitable<void>
StreamParts(Exchange& aExchange)
{
  ResponseHead head;
  (void)co_await aExchange.StartStream(std::move(head));
  for (int i = 0; i < 5; ++i) {
    const std::string part = "part" + std::to_string(i) + ";";
    (void)co_await aExchange.Write(part);
  }
  (void)co_await aExchange.Finish();
}

/// Sends a request and discards the body of its response. Returns whether there
/// was one.
boost::asio::awaitable<bool>
CallAndDiscard(Client& aClient, core::Endpoint aPeer)
{
  Request request;
  auto stream = co_await aClient.OpenStream(std::move(aPeer),
                                            std::move(request),
                                            Reuse::Allowed,
                                            kernel::Now() + seconds(5));
  if (!stream.ok()) {
    co_return false;
  }
  const std::unique_ptr<ResponseStream> response = *std::move(stream);
  co_await response->DiscardBody();
  co_return true;
}

std::string
StatusLine(const std::string& aResponse)
{
  return aResponse.substr(0, aResponse.find('\r'));
}

uint64_t
CounterValue(Loopback& aLoopback, std::string_view aName)
{
  return aLoopback.Kernel().Metrics().Get(aName).m_value.load();
}

} // namespace

TEST_CASE("invalid requests get typed errors and do not stop the server")
{
  struct Case
  {
    const char* m_name;
    std::string m_bytes;
    bool m_shutdownSend;
    const char* m_status;
    const char* m_counter;
  };
  const std::string bigHeader(2000, 'h');
  const std::vector<Case> cases{
    { "not HTTP", "hello\r\n\r\n", false, "400", "http.malformed_request" },
    { "invalid content length",
      "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
      false,
      "400",
      "http.malformed_request" },
    { "truncated body",
      "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc",
      true,
      "400",
      "http.truncated_request" },
    { "header too large",
      "GET / HTTP/1.1\r\nX: " + bigHeader + "\r\n\r\n",
      false,
      "431",
      "http.header_too_large" },
    { "body too large",
      "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n",
      false,
      "413",
      "http.body_too_large" },
    { "header without end",
      "GET / HTTP/1.1\r\nX: y",
      false,
      "408",
      "http.slow_request" },
  };
  Loopback loopback(SmallLimitSettings());
  loopback.Http().AddRoute({ "*", "/", EchoBody });
  loopback.Listen();
  for (const Case& c : cases) {
    INFO(c.m_name);
    const uint64_t before = CounterValue(loopback, c.m_counter);
    const std::string response = loopback.SendRaw(c.m_bytes, c.m_shutdownSend);
    CHECK(StatusLine(response).find(c.m_status) != std::string::npos);
    CHECK(response.find("\"error\":\"invalid-input\"") != std::string::npos);
    CHECK(response.find("\"executed\":\"no\"") != std::string::npos);
    CHECK(CounterValue(loopback, c.m_counter) == before + 1);
    const auto next = loopback.Call(loopback.Self(),
                                    { "POST", "/", {}, "still here" },
                                    Reuse::Never,
                                    seconds(5));
    REQUIRE(next.ok());
    CHECK(next->m_body == "still here");
  }
}

TEST_CASE(
  "unknown paths get 404, throwing handlers get 502 and streams arrive whole")
{
  Loopback loopback(SmallLimitSettings());
  loopback.Http().AddRoute({ "GET", "/throw", ThrowException });
  loopback.Http().AddRoute({ "GET", "/stream", StreamParts });
  loopback.Listen();
  const auto notFound = loopback.Call(
    loopback.Self(), { "GET", "/nothing", {}, "" }, Reuse::Allowed, seconds(5));
  REQUIRE(notFound.ok());
  CHECK(notFound->m_head.m_status == 404);
  const auto thrown = loopback.Call(
    loopback.Self(), { "GET", "/throw", {}, "" }, Reuse::Allowed, seconds(5));
  REQUIRE(thrown.ok());
  CHECK(thrown->m_head.m_status == 502);
  CHECK(thrown->m_body.find("\"executed\":\"unknown\"") != std::string::npos);
  const auto stream = loopback.Call(
    loopback.Self(), { "GET", "/stream", {}, "" }, Reuse::Allowed, seconds(5));
  REQUIRE(stream.ok());
  CHECK(stream->m_body == "part0;part1;part2;part3;part4;");
}

TEST_CASE("the client reports incomplete and malformed responses as failures")
{
  struct Case
  {
    const char* m_name;
    std::string m_response;
    std::string_view m_kind;
  };
  const std::vector<Case> cases{
    { "body shorter than its length",
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
      "truncated-answer" },
    { "chunked body without its last chunk",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
      "truncated-answer" },
    { "truncated head", "HTTP/1.1 2", "connection-failed" },
    { "empty response", "", "connection-failed" },
    { "not HTTP", "what?\r\n\r\n", "connection-failed" },
  };
  Loopback loopback(SmallLimitSettings());
  for (const Case& c : cases) {
    INFO(c.m_name);
    const RawServer server(c.m_response);
    const auto response = loopback.Call(
      server.Endpoint(), { "POST", "/", {}, "x" }, Reuse::Never, seconds(5));
    REQUIRE_FALSE(response.ok());
    const core::Failure failure = FailureOf(response.status());
    CHECK(core::KindOf(failure) == c.m_kind);
    CHECK(core::ExecutedOf(failure) == core::Executed::Unknown);
    // The request was not sent again.
    CHECK(server.Accepted() == 1);
  }
}

TEST_CASE("a refused connection fails with executed=no")
{
  Loopback loopback(SmallLimitSettings());
  core::Endpoint closed;
  {
    const RawServer server("");
    closed = server.Endpoint();
  }
  const auto response =
    loopback.Call(closed, { "POST", "/", {}, "x" }, Reuse::Never, seconds(5));
  REQUIRE_FALSE(response.ok());
  CHECK(core::ExecutedOf(FailureOf(response.status())) == core::Executed::No);
}

// Guards against a request that crashed its server over a kept connection and
// was reported as not executed, so that it was sent on without limit.
TEST_CASE("a request that was sent on a kept connection may have been executed "
          "although the server is gone at the second try")
{
  CrashingServer server("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                        CrashMode::Closed);
  Loopback loopback(SmallLimitSettings());
  loopback.Listen();
  const auto first = loopback.Call(
    server.Endpoint(), { "GET", "/", {}, "sound" }, Reuse::Allowed, seconds(2));
  REQUIRE(first.ok());
  const auto second =
    loopback.Call(server.Endpoint(),
                  { "GET", "/", {}, std::string(CrashingServer::kCrashMarker) },
                  Reuse::Allowed,
                  seconds(2));
  REQUIRE_FALSE(second.ok());
  CHECK(server.HasCrashed());
  CHECK(core::ExecutedOf(FailureOf(second.status())) ==
        core::Executed::Unknown);
}

TEST_CASE("a connection whose response is discarded is used again")
{
  Loopback loopback(SmallLimitSettings());
  std::atomic<int> requests{ 0 };
  loopback.Http().AddRoute(
    { "*", "/", [&](Exchange& aExchange) -> boost::asio::awaitable<void> {
       requests.fetch_add(1);
       Response busy;
       busy.m_head.m_status = 503;
       busy.m_body = std::string(500, 'x');
       co_await aExchange.RespondIgnoringErrors(std::move(busy));
     } });
  loopback.Listen();
  Client& client = loopback.Kernel().Get<Clients>()->ForLoop(0);
  for (int i = 0; i < 10; ++i) {
    const bool opened =
      boost::asio::co_spawn(loopback.Kernel().Traffic().Loop(0),
                            CallAndDiscard(client, loopback.Self()),
                            boost::asio::use_future)
        .get();
    CHECK(opened);
  }
  CHECK(requests.load() == 10);
  CHECK(loopback.Http().OpenConnections().load() == 1);
  CHECK(CounterValue(loopback, "http.idle_connection_dead") == 0);
}

// Guards against a late copy of a response that is read as the response to the
// next request with the same id.
TEST_CASE("a request is not sent on a connection that has carried its id")
{
  StutteringServer server([](std::string_view aRequest) {
    const std::string body = FindRawHeader(aRequest, "Ordinal");
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  });
  Loopback loopback(SmallLimitSettings());
  loopback.Listen();
  const auto call = [&](std::string aOrdinal) {
    Request request{ "GET", "/", { { "Ordinal", std::move(aOrdinal) } }, "" };
    request.m_repeatedId = "id";
    return loopback.Call(
      server.Endpoint(), std::move(request), Reuse::Allowed, seconds(5));
  };
  for (const char* ordinal : { "1", "2", "3" }) {
    const auto response = call(ordinal);
    REQUIRE(response.ok());
    CHECK(response->m_body == ordinal);
  }
  CHECK(server.LateCopies() == 0);
}

TEST_CASE("a late response is never read as the response to the next request")
{
  Loopback loopback(SmallLimitSettings());
  loopback.Http().AddRoute(
    { "*", "/", [](Exchange& aExchange) -> boost::asio::awaitable<void> {
       if (aExchange.ReceivedRequest().m_body == "slow") {
         boost::asio::steady_timer timer(
           co_await boost::asio::this_coro::executor, milliseconds(200));
         co_await timer.async_wait(boost::asio::use_awaitable);
       }
       co_await EchoBody(aExchange);
     } });
  loopback.Listen();
  for (int i = 0; i < 5; ++i) {
    const auto late = loopback.Call(loopback.Self(),
                                    { "GET", "/", {}, "slow" },
                                    Reuse::Allowed,
                                    milliseconds(50));
    REQUIRE_FALSE(late.ok());
    const std::string text = "quick" + std::to_string(i);
    const auto next = loopback.Call(
      loopback.Self(), { "GET", "/", {}, text }, Reuse::Allowed, seconds(5));
    REQUIRE(next.ok());
    CHECK(next->m_body == text);
  }
}

} // namespace heatherdeal::http
