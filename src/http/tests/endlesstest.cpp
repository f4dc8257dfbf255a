// Peers that send bytes which are no response, without end. Guards against
// memory that grows with what such a peer sends, and against calls that never
// end because each byte counts as progress.

#include <future>

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/use_future.hpp"
#include "catch2/catch.hpp"

#include "http/tests/endlesspeer.h"
#include "http/tests/loopback.h"

namespace heatherdeal::http {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kMiB = 1024ULL * 1024;
constexpr ResponseLimits kLimits{ kMiB, 4 * kMiB };

/// Waits until the callers have closed all connections to the peer. Returns
/// false if that takes too long.
bool
WaitForClose(const EndlessPeer& aPeer)
{
  for (int i = 0; i < 500 && aPeer.OpenConnections() > 0; ++i) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  return aPeer.OpenConnections() == 0;
}

/// Clients with small limits.
struct LimitedClients
{
  Loopback m_loopback{ AnyPort() };
  Clients m_clients{ m_loopback.Kernel(), kLimits };

  std::future<absl::StatusOr<Response>> StartCall(const core::Endpoint& aPeer,
                                                  core::Duration aTimeout)
  {
    return boost::asio::co_spawn(
      m_loopback.Kernel().Traffic().Loop(0),
      m_clients.ForLoop(0).Call(
        aPeer, { "GET", "/", {}, "" }, Reuse::Never, kernel::Now() + aTimeout),
      boost::asio::use_future);
  }

  uint64_t PeakBytes() { return m_clients.ForLoop(0).Memory()->PeakBytes(); }
};

} // namespace

TEST_CASE("a response without end fails, and its connection is closed at once")
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string kilobyte(1024, 'x');
  struct Case
  {
    const char* m_name;
    std::string m_start;
    std::string m_repeated;
    const char* m_kind;
  };
  const std::vector<Case> cases{
    { "header fields", ok, "X: " + kilobyte + "\r\n", "connection-failed" },
    { "one header field", ok + "X: ", kilobyte, "connection-failed" },
    { "status line", "", kilobyte, "connection-failed" },
    { "informational responses",
      "",
      "HTTP/1.1 100 Continue\r\n\r\n",
      "connection-failed" },
    { "body without length", ok + "\r\n", kilobyte, "response-too-large" },
    { "body of a huge length",
      ok + "Content-Length: 1000000000000\r\n\r\n",
      kilobyte,
      "response-too-large" },
    { "chunks", chunked, "400\r\n" + kilobyte + "\r\n", "response-too-large" },
    { "chunk extension", chunked + "5;", kilobyte, "truncated-answer" },
    { "trailer",
      chunked + "0\r\n",
      "X: " + kilobyte + "\r\n",
      "truncated-answer" },
  };
  for (const Case& c : cases) {
    INFO(c.m_name);
    LimitedClients clients;
    const EndlessPeer peer(c.m_start, c.m_repeated);
    // The deadline is far away, so only the limits end the call.
    const auto response = clients.StartCall(peer.Endpoint(), seconds(60)).get();
    REQUIRE_FALSE(response.ok());
    CHECK(core::KindOf(FailureOf(response.status())) == c.m_kind);
    CHECK(core::ExecutedOf(FailureOf(response.status())) ==
          core::Executed::Unknown);
    CHECK(WaitForClose(peer));
    CHECK(clients.PeakBytes() <= kLimits.m_maxResponseBytes);
  }
}

TEST_CASE("fifty peers that send without end stay within the memory of the "
          "process")
{
  LimitedClients clients;
  const EndlessPeer peer("HTTP/1.1 200 OK\r\n\r\n", std::string(1024, 'x'));
  std::vector<std::future<absl::StatusOr<Response>>> calls;
  for (int i = 0; i < 50; ++i) {
    calls.push_back(clients.StartCall(peer.Endpoint(), seconds(60)));
  }
  for (auto& call : calls) {
    CHECK_FALSE(call.get().ok());
  }
  CHECK(WaitForClose(peer));
  CHECK(clients.PeakBytes() <= kLimits.m_maxBufferedBytes);
}

TEST_CASE(
  "a response that arrives byte by byte ends at the deadline of the call")
{
  LimitedClients clients;
  const EndlessPeer peer(
    "HTTP/1.1 200 OK\r\n\r\n", std::string(1, 'x'), milliseconds(20));
  const auto response =
    clients.StartCall(peer.Endpoint(), milliseconds(300)).get();
  REQUIRE_FALSE(response.ok());
  CHECK(core::KindOf(FailureOf(response.status())) == "deadline-exceeded");
  CHECK(WaitForClose(peer));
}

TEST_CASE("informational responses before the final one are skipped")
{
  LimitedClients clients;
  const RawServer server("HTTP/1.1 102 Processing\r\n\r\n"
                         "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  const auto response = clients.StartCall(server.Endpoint(), seconds(5)).get();
  REQUIRE(response.ok());
  CHECK(response->m_head.m_status == 200);
  CHECK(response->m_body == "ok");
}

TEST_CASE("memory is released after each response")
{
  LimitedClients clients;
  const std::string body(kMiB / 2, 'x');
  const RawServer server("HTTP/1.1 200 OK\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
  for (int i = 0; i < 20; ++i) {
    const auto response =
      clients.StartCall(server.Endpoint(), seconds(5)).get();
    REQUIRE(response.ok());
    CHECK(response->m_body.size() == body.size());
  }
}

} // namespace heatherdeal::http
