#include "operatortool/storecalls.h"

#include <unistd.h>

#include "boost/json/serialize.hpp"

#include "http/exchange.h"
#include "kernel/json.h"

namespace heatherdeal::operatortool {

namespace {

constexpr std::string_view kTarget = "/objects/configuration/current";
constexpr core::Duration kCallTime = std::chrono::seconds(5);
constexpr uint32_t kOk = 200;
constexpr uint32_t kNotFound = 404;
constexpr uint32_t kConflict = 409;

/// The stored document with the token of the write that created it.
struct TokenedDocument
{
  StoredDocument m_document;
  std::string m_token;
};

TokenedDocument
ParseStored(kernel::SettingsReader& aReader)
{
  TokenedDocument stored;
  aReader.TextOr("name", "");
  stored.m_document.m_version =
    static_cast<uint64_t>(aReader.Integer("version", { 0, INT64_MAX }));
  stored.m_document.m_text = aReader.TextOr("value", "");
  stored.m_token = aReader.TextOr("token", "");
  return stored;
}

absl::StatusOr<TokenedDocument>
ReadTokened(tools::BlockingClient& aClient, const core::Endpoint& aStore)
{
  http::Request request;
  request.m_target = kTarget;
  const absl::StatusOr<http::Answer> answer =
    aClient.Call(aStore, std::move(request), kernel::Now() + kCallTime);
  if (!answer.ok()) {
    return answer.status();
  }
  if (answer->m_head.m_status == kNotFound) {
    return TokenedDocument{};
  }
  if (answer->m_head.m_status != kOk) {
    return core::ToStatus(core::PeerRefused{
      http::ToText(aStore), answer->m_head.m_status, core::Executed::No });
  }
  return kernel::ParseMessage<TokenedDocument>(
    answer->m_body, "object", ParseStored);
}

std::string
NewToken()
{
  return "operator-" + std::to_string(getpid()) + "-" +
         std::to_string(kernel::Now().time_since_epoch().count());
}

/// Reads the document again to determine whether the write with the token took
/// effect. Returns the new version or the failure.
absl::StatusOr<uint64_t>
ReadBack(tools::BlockingClient& aClient,
         const core::Endpoint& aStore,
         uint64_t aIfVersion,
         std::string_view aToken)
{
  const absl::StatusOr<TokenedDocument> found = ReadTokened(aClient, aStore);
  if (!found.ok()) {
    return core::ToStatus(
      core::ConnectionFailed{ http::ToText(aStore), core::Executed::Unknown });
  }
  if (found->m_token == aToken) {
    return found->m_document.m_version;
  }
  return core::ToStatus(
    core::VersionConflict{ aIfVersion, found->m_document.m_version });
}

} // namespace

absl::StatusOr<StoredDocument>
ReadStored(tools::BlockingClient& aClient, const core::Endpoint& aStore)
{
  const absl::StatusOr<TokenedDocument> stored = ReadTokened(aClient, aStore);
  if (!stored.ok()) {
    return stored.status();
  }
  return stored->m_document;
}

absl::StatusOr<uint64_t>
WriteStored(tools::BlockingClient& aClient,
            const core::Endpoint& aStore,
            uint64_t aIfVersion,
            std::string_view aText)
{
  const std::string token = NewToken();
  const boost::json::value body{ { "if_version", aIfVersion },
                                 { "token", token },
                                 { "value", kernel::JsonView(aText) } };
  http::Request request;
  request.m_method = "PUT";
  request.m_target = kTarget;
  request.m_body = boost::json::serialize(body);
  const absl::StatusOr<http::Answer> answer =
    aClient.Call(aStore, std::move(request), kernel::Now() + kCallTime);
  if (answer.ok() && answer->m_head.m_status != kOk &&
      answer->m_head.m_status != kConflict) {
    return core::ToStatus(core::PeerRefused{
      http::ToText(aStore), answer->m_head.m_status, core::Executed::Unknown });
  }
  return ReadBack(aClient, aStore, aIfVersion, token);
}

} // namespace heatherdeal::operatortool
