// Upstreams whose answers have a status that HTTP does not have.

#include "catch2/catch.hpp"

#include "core/failure.h"
#include "http/tests/loopback.h"

namespace heatherdeal::http {

// Guards against bytes that are no answer and are taken for one (MIXED).
TEST_CASE("only a status from 200 to 599 is an answer")
{
  struct Case
  {
    std::string m_head;
    /// The status that the caller gets; 0 if the call fails.
    uint32_t m_status;
  };
  const std::string rest = "\r\nContent-Length: 2\r\n\r\nok";
  const std::string answer = "HTTP/1.1 200 OK" + rest;
  const std::string end = "\r\n\r\n";
  const std::vector<Case> cases{
    { answer, 200 },
    { "HTTP/1.1 599 Last" + rest, 599 },
    { "HTTP/1.1 100 Continue" + end + answer, 200 },
    { "HTTP/1.1 102 Processing" + end + answer, 200 },
    { "HTTP/1.1 103 Early Hints" + end + answer, 200 },
    { "HTTP/1.1 199 Unassigned" + end + answer, 200 },
    { "HTTP/1.1 000 None" + rest, 0 },
    { "HTTP/1.1 000 None" + end + answer, 0 },
    { "HTTP/1.1 099 None" + rest, 0 },
    { "HTTP/1.1 099 None" + end + answer, 0 },
    { "HTTP/1.1 101 Switching Protocols" + end + answer, 0 },
    { "HTTP/1.1 600 Over" + rest, 0 },
    { "HTTP/1.1 999 Over" + rest, 0 },
    { "HTTP/1.1 100 Continue" + end + "HTTP/1.1 600 Over" + rest, 0 },
  };
  for (const Case& c : cases) {
    INFO(c.m_head);
    const RawServer upstream(c.m_head);
    Loopback loopback{ AnyPort() };
    const auto response = loopback.Call(upstream.Endpoint(),
                                        { "GET", "/", {}, "" },
                                        Reuse::Never,
                                        std::chrono::seconds(5));
    if (c.m_status != 0) {
      REQUIRE(response.ok());
      CHECK(response->m_head.m_status == c.m_status);
      continue;
    }
    REQUIRE_FALSE(response.ok());
    CHECK(core::ExecutedOf(FailureOf(response.status())) ==
          core::Executed::Unknown);
  }
}

} // namespace heatherdeal::http
