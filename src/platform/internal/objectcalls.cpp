#include "platform/internal/objectcalls.h"

#include "boost/json/serialize.hpp"

#include "core/failure.h"
#include "kernel/json.h"

namespace heatherdeal::platform {

namespace {

namespace asio = boost::asio;

constexpr uint32_t kOk = 200;
constexpr uint32_t kNotFound = 404;
constexpr uint32_t kConflict = 409;
constexpr uint32_t kGone = 410;
constexpr uint32_t kTooManyRequests = 429;
constexpr int64_t kMaxVersion = INT64_MAX;

std::string
TargetOf(const ObjectKey& aKey)
{
  return "/objects/" + aKey.m_kind + "/" + aKey.m_name;
}

absl::Status
StatusOfAnswer(const http::Answer& aAnswer, const core::Endpoint& aPeer)
{
  const uint32_t status = aAnswer.m_head.m_status;
  const bool notRun = status == kTooManyRequests;
  return core::ToStatus(
    core::PeerRefused{ http::ToText(aPeer),
                       status,
                       notRun ? core::Executed::No : core::Executed::Unknown });
}

StoredObject
ParseObject(kernel::SettingsReader& aReader, std::string_view aKind)
{
  StoredObject object;
  object.m_key.m_kind = aKind;
  object.m_key.m_name = aReader.Text("name");
  object.m_version =
    static_cast<uint64_t>(aReader.Integer("version", { 0, kMaxVersion }));
  object.m_value = aReader.TextOr("value", "");
  object.m_writeToken = aReader.TextOr("token", "");
  return object;
}

absl::StatusOr<uint64_t>
ConflictOf(const http::Answer& aAnswer, const WriteRequest& aWrite)
{
  const absl::StatusOr<StoredObject> found = kernel::ParseMessage<StoredObject>(
    aAnswer.m_body, "conflict", [&](kernel::SettingsReader& aReader) {
      return ParseObject(aReader, aWrite.m_key.m_kind);
    });
  if (!found.ok()) {
    return found.status();
  }
  // The conflict may be with this very write, whose reply was lost.
  if (found->m_writeToken == aWrite.m_token) {
    return found->m_version;
  }
  return core::ToStatus(
    core::VersionConflict{ aWrite.m_ifVersion, found->m_version });
}

} // namespace

asio::awaitable<absl::StatusOr<StoredObject>>
CallRead(http::Client& aClient,
         core::Endpoint aPeer,
         ObjectKey aKey,
         core::Instant aDeadline)
{
  http::Request request;
  request.m_target = TargetOf(aKey);
  const absl::StatusOr<http::Answer> answer = co_await aClient.Call(
    aPeer, std::move(request), http::Reuse::Allowed, aDeadline);
  if (!answer.ok()) {
    co_return answer.status();
  }
  if (answer->m_head.m_status == kNotFound) {
    StoredObject missing;
    missing.m_key = std::move(aKey);
    co_return missing;
  }
  if (answer->m_head.m_status != kOk) {
    co_return StatusOfAnswer(*answer, aPeer);
  }
  co_return kernel::ParseMessage<StoredObject>(
    answer->m_body, "object", [&](kernel::SettingsReader& aReader) {
      return ParseObject(aReader, aKey.m_kind);
    });
}

asio::awaitable<absl::StatusOr<uint64_t>>
CallWrite(http::Client& aClient,
          core::Endpoint aPeer,
          WriteRequest aWrite,
          core::Instant aDeadline)
{
  boost::json::object body;
  body["if_version"] = aWrite.m_ifVersion;
  body["token"] = aWrite.m_token;
  body["value"] = aWrite.m_value;
  http::Request request;
  request.m_method = "PUT";
  request.m_target = TargetOf(aWrite.m_key);
  request.m_body = boost::json::serialize(body);
  const absl::StatusOr<http::Answer> answer = co_await aClient.Call(
    aPeer, std::move(request), http::Reuse::Allowed, aDeadline);
  if (!answer.ok()) {
    co_return answer.status();
  }
  if (answer->m_head.m_status == kConflict) {
    co_return ConflictOf(*answer, aWrite);
  }
  if (answer->m_head.m_status != kOk) {
    co_return StatusOfAnswer(*answer, aPeer);
  }
  co_return kernel::ParseMessage<uint64_t>(
    answer->m_body, "write answer", [](kernel::SettingsReader& aReader) {
      return static_cast<uint64_t>(
        aReader.Integer("version", { 0, kMaxVersion }));
    });
}

asio::awaitable<absl::StatusOr<ObjectList>>
CallList(http::Client& aClient,
         core::Endpoint aPeer,
         std::string aKind,
         uint64_t aAfter,
         core::Duration aWait,
         core::Instant aDeadline)
{
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(aWait);
  http::Request request;
  request.m_target = "/watch/" + aKind + "?after=" + std::to_string(aAfter) +
                     "&wait_ms=" + std::to_string(wait.count());
  const absl::StatusOr<http::Answer> answer = co_await aClient.Call(
    aPeer, std::move(request), http::Reuse::Allowed, aDeadline);
  if (!answer.ok()) {
    co_return answer.status();
  }
  if (answer->m_head.m_status == kGone) {
    co_return core::ToStatus(core::WatchGap{ aKind });
  }
  if (answer->m_head.m_status != kOk) {
    co_return StatusOfAnswer(*answer, aPeer);
  }
  co_return kernel::ParseMessage<ObjectList>(
    answer->m_body, "list", [&](kernel::SettingsReader& aReader) {
      ObjectList list;
      list.m_revision =
        static_cast<uint64_t>(aReader.Integer("revision", { 0, kMaxVersion }));
      aReader.ForEach(
        "objects",
        [&](const boost::json::value& aValue, std::string_view aPath) {
          kernel::SettingsReader element(aValue, aPath, aReader.Errors());
          list.m_objects.push_back(ParseObject(element, aKind));
        });
      return list;
    });
}

} // namespace heatherdeal::platform
