#include "quarantine/fingerprint.h"

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "xxhash.h"

namespace heatherdeal::quarantine {

namespace {

constexpr std::string_view kTracingHeaders[] = { "Date",
                                                 "Traceparent",
                                                 "Tracestate",
                                                 "Baggage" };

bool
ContainsHeader(std::span<const std::string_view> aNames, std::string_view aName)
{
  return std::ranges::any_of(aNames, [aName](std::string_view aListed) {
    return http::IsSameHeaderName(aName, aListed);
  });
}

/// Adds the field to the hash, with its length, so that different fields never
/// join to the same bytes.
uint64_t
HashField(uint64_t aHash, std::string_view aField)
{
  const uint64_t size = aField.size();
  const uint64_t sizeHash = XXH64(&size, sizeof(size), aHash);
  return XXH64(aField.data(), aField.size(), sizeHash);
}

std::vector<std::string>
CanonicalHeaders(const http::Request& aRequest,
                 std::span<const std::string_view> aAttemptHeaders)
{
  std::vector<std::string> headers;
  for (const http::Header& header : aRequest.m_headers) {
    if (!ContainsHeader(aAttemptHeaders, header.m_name) &&
        !ContainsHeader(kTracingHeaders, header.m_name)) {
      headers.push_back(absl::AsciiStrToLower(header.m_name) + ":" +
                        header.m_value);
    }
  }
  std::ranges::sort(headers);
  return headers;
}

} // namespace

Fingerprint
ComputeFingerprint(const http::Request& aRequest,
                   std::span<const std::string_view> aAttemptHeaders)
{
  uint64_t hash = HashField(0, aRequest.m_method);
  hash = HashField(hash, aRequest.m_target);
  for (const std::string& header :
       CanonicalHeaders(aRequest, aAttemptHeaders)) {
    hash = HashField(hash, header);
  }
  return { HashField(hash, aRequest.m_body) };
}

std::string
ToText(Fingerprint aFingerprint)
{
  return absl::StrCat(absl::Hex(aFingerprint.m_value, absl::kZeroPad16));
}

core::Quarantined
MakeFailure(Fingerprint aFingerprint,
            core::Instant aRefusalEnd,
            core::Instant aNow)
{
  const auto timeLeft =
    std::chrono::duration_cast<std::chrono::milliseconds>(aRefusalEnd - aNow);
  return { ToText(aFingerprint),
           static_cast<uint64_t>(std::max<int64_t>(0, timeLeft.count())) };
}

} // namespace heatherdeal::quarantine
