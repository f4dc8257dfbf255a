#include "boost/asio/write.hpp"
#include "catch2/catch.hpp"

#include "http/tests/loopback.h"

namespace heatherdeal::http {

namespace {

constexpr uint64_t kMebibyte = 1024ULL * 1024;

ServerSettings
SmallBudgetSettings()
{
  ServerSettings settings = AnyPort();
  settings.m_maxBodyBytes = 4 * kMebibyte;
  settings.m_budgetLimits.m_maxBytes = 2 * kMebibyte;
  settings.m_budgetLimits.m_maxLargeBytes = kMebibyte;
  return settings;
}

std::string
MakeHead(std::string_view aFraming)
{
  return "POST / HTTP/1.1\r\nHost: h\r\n" + std::string(aFraming) + "\r\n\r\n";
}

} // namespace

// Guards against a large body that is read although it does not fit, and
// against a refusal that a client takes for an execution.
TEST_CASE("a body that does not fit is refused before it is read")
{
  Loopback loopback(SmallBudgetSettings());
  loopback.Listen();
  const std::string response =
    loopback.SendRaw(MakeHead("Content-Length: 3000000"), false);
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(response.find("Retry-After: 1") != std::string::npos);
  CHECK(response.find("\"executed\":\"no\"") != std::string::npos);
  const std::string tooLarge =
    loopback.SendRaw(MakeHead("Content-Length: 5000000"), false);
  CHECK(tooLarge.starts_with("HTTP/1.1 413"));
}

TEST_CASE("a route refuses bodies over its own limit before they are read")
{
  Loopback loopback(SmallBudgetSettings());
  loopback.Http().AddRoute(
    { "POST",
      "/",
      [](Exchange& aExchange) -> boost::asio::awaitable<void> {
        Response response;
        co_await aExchange.RespondIgnoringErrors(std::move(response));
      },
      [](const Request&) { return BodyRule{ 1000 }; } });
  loopback.Listen();
  CHECK(loopback.SendRaw(MakeHead("Content-Length: 1001"), false)
          .starts_with("HTTP/1.1 413"));
  CHECK(
    loopback.SendRaw(MakeHead("Transfer-Encoding: chunked") + "3e9\r\n", false)
      .starts_with("HTTP/1.1 413"));
  CHECK(
    loopback
      .SendRaw(MakeHead("Connection: close\r\nContent-Length: 2") + "ok", false)
      .starts_with("HTTP/1.1 200"));
}

// Guards against bodies that stop just short of the end and block all others
// until their timeout.
TEST_CASE("a stalled body gives way to one that arrives")
{
  Loopback loopback(SmallBudgetSettings());
  loopback.Http().AddRoute(
    { "POST", "/", [](Exchange& aExchange) -> boost::asio::awaitable<void> {
       Response response;
       co_await aExchange.RespondIgnoringErrors(std::move(response));
     } });
  loopback.Listen();
  boost::asio::io_context loop;
  boost::asio::ip::tcp::socket stalled(loop);
  stalled.connect(LoopbackEndpoint(loopback.Self().m_port));
  const std::string head = MakeHead("Content-Length: 900000");
  boost::asio::write(stalled, boost::asio::buffer(head));
  const std::string body(900'000, 'x');
  uint32_t status = 0;
  // Refused until the other body counts as stalled.
  for (int i = 0; i < 100 && status != 200; ++i) {
    const auto response = loopback.Call(loopback.Self(),
                                        { "POST", "/", {}, body },
                                        Reuse::Never,
                                        std::chrono::seconds(5));
    status = response.ok() ? response->m_head.m_status : 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  CHECK(status == 200);
  CHECK(loopback.Kernel().Metrics().Get("http.gave_way_for_bytes").m_value ==
        1);
}

} // namespace heatherdeal::http
