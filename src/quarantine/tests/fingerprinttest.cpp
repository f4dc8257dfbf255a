#include "quarantine/fingerprint.h"

#include "catch2/catch.hpp"

namespace heatherdeal::quarantine {

namespace {

constexpr std::string_view kAttemptHeaders[] = { "Request-Id", "Time-Left" };

http::Request
MakeRequest()
{
  return { "POST",
           "/a/b?c=d",
           { { "Host", "h" }, { "Caller", "me" }, { "Request-Id", "1" } },
           "body" };
}

} // namespace

TEST_CASE("attempts of the same request have the same fingerprint")
{
  const Fingerprint first = ComputeFingerprint(MakeRequest(), kAttemptHeaders);
  http::Request again = MakeRequest();
  again.m_headers = { { "request-id", "2" },
                      { "caller", "me" },
                      { "Time-Left", "80" },
                      { "Host", "h" } };
  CHECK(ComputeFingerprint(again, kAttemptHeaders) == first);
  CHECK(ToText(first).size() == 16);
}

TEST_CASE("requests that differ in one part have different fingerprints")
{
  const Fingerprint first = ComputeFingerprint(MakeRequest(), kAttemptHeaders);
  std::vector<http::Request> others(5, MakeRequest());
  others[0].m_method = "PUT";
  others[1].m_target = "/a/b?c=e";
  others[2].m_headers[1].m_value = "you";
  others[3].m_body = "bodY";
  others[4].m_headers.push_back({ "Caller", "me" });
  for (const http::Request& other : others) {
    CHECK(ComputeFingerprint(other, kAttemptHeaders) != first);
  }
}

} // namespace heatherdeal::quarantine
