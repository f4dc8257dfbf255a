#include "operatortool/storecalls.h"

#include <unistd.h>

#include "boost/json/serialize.hpp"

#include "http/exchange.h"
#include "kernel/json.h"

namespace heatherdeal::operatortool {

namespace {

constexpr std::string_view kDocumentPath = "/objects/configuration/current";
constexpr core::Duration kRequestTimeout = std::chrono::seconds(5);
constexpr uint32_t kHttpOk = 200;
constexpr uint32_t kHttpNotFound = 404;
constexpr uint32_t kHttpConflict = 409;

/// The stored document with the token of the write that created it.
struct DocumentWithToken
{
  StoredDocument m_document;
  std::string m_token;
};

DocumentWithToken
ParseDocumentWithToken(kernel::SettingsReader& aReader)
{
  DocumentWithToken stored;
  aReader.TextOr("name", "");
  stored.m_document.m_version =
    static_cast<uint64_t>(aReader.Integer("version", { 0, INT64_MAX }));
  stored.m_document.m_text = aReader.TextOr("value", "");
  stored.m_token = aReader.TextOr("token", "");
  return stored;
}

absl::StatusOr<DocumentWithToken>
ReadDocumentWithToken(tools::BlockingClient& aClient,
                      const core::Endpoint& aStore)
{
  http::Request request;
  request.m_target = kDocumentPath;
  const absl::StatusOr<http::Response> response =
    aClient.Call(aStore, std::move(request), kernel::Now() + kRequestTimeout);
  if (!response.ok()) {
    return response.status();
  }
  if (response->m_head.m_status == kHttpNotFound) {
    return DocumentWithToken{};
  }
  if (response->m_head.m_status != kHttpOk) {
    return core::ToStatus(core::PeerRefused{
      http::ToText(aStore), response->m_head.m_status, core::Executed::No });
  }
  return kernel::ParseMessage<DocumentWithToken>(
    response->m_body, "object", ParseDocumentWithToken);
}

std::string
MakeWriteToken()
{
  return "operator-" + std::to_string(getpid()) + "-" +
         std::to_string(kernel::Now().time_since_epoch().count());
}

/// Reads the document again to determine whether the write with the token took
/// effect. Returns the new version or the failure.
absl::StatusOr<uint64_t>
VerifyWrite(tools::BlockingClient& aClient,
            const core::Endpoint& aStore,
            uint64_t aExpectedVersion,
            std::string_view aToken)
{
  const absl::StatusOr<DocumentWithToken> current =
    ReadDocumentWithToken(aClient, aStore);
  if (!current.ok()) {
    return core::ToStatus(
      core::ConnectionFailed{ http::ToText(aStore), core::Executed::Unknown });
  }
  if (current->m_token == aToken) {
    return current->m_document.m_version;
  }
  return core::ToStatus(
    core::VersionConflict{ aExpectedVersion, current->m_document.m_version });
}

} // namespace

absl::StatusOr<StoredDocument>
ReadStoredDocument(tools::BlockingClient& aClient, const core::Endpoint& aStore)
{
  const absl::StatusOr<DocumentWithToken> stored =
    ReadDocumentWithToken(aClient, aStore);
  if (!stored.ok()) {
    return stored.status();
  }
  return stored->m_document;
}

absl::StatusOr<uint64_t>
ReplaceStoredDocument(tools::BlockingClient& aClient,
                      const core::Endpoint& aStore,
                      uint64_t aExpectedVersion,
                      std::string_view aText)
{
  const std::string token = MakeWriteToken();
  const boost::json::value body{ { "if_version", aExpectedVersion },
                                 { "token", token },
                                 { "value", kernel::JsonView(aText) } };
  http::Request request;
  request.m_method = "PUT";
  request.m_target = kDocumentPath;
  request.m_body = boost::json::serialize(body);
  const absl::StatusOr<http::Response> response =
    aClient.Call(aStore, std::move(request), kernel::Now() + kRequestTimeout);
  if (response.ok() && response->m_head.m_status != kHttpOk &&
      response->m_head.m_status != kHttpConflict) {
    return core::ToStatus(core::PeerRefused{ http::ToText(aStore),
                                             response->m_head.m_status,
                                             core::Executed::Unknown });
  }
  return VerifyWrite(aClient, aStore, aExpectedVersion, token);
}

} // namespace heatherdeal::operatortool
