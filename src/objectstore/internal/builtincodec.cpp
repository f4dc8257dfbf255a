#include "objectstore/objectcodec.h"

#include "absl/strings/numbers.h"
#include "boost/json/serialize.hpp"

#include "core/failure.h"
#include "http/client.h"
#include "kernel/codecregistry.h"
#include "kernel/json.h"

namespace heatherdeal::objectstore {

namespace {

constexpr uint32_t kOk = 200;
constexpr uint32_t kNotFound = 404;
constexpr uint32_t kConflict = 409;
constexpr uint32_t kGone = 410;
constexpr uint32_t kTooManyRequests = 429;
constexpr int64_t kMaxVersion = INT64_MAX;
// Hosts of earlier releases ignore a header, but reject a field.
constexpr std::string_view kConfirmedHeader = "X-Heatherdeal-Confirmed-Ms";
constexpr std::string_view kHostKinds[] = { "hosts" };

std::string
MakeObjectTarget(const ObjectKey& aKey)
{
  return "/objects/" + aKey.m_kind + "/" + aKey.m_name;
}

absl::Status
StatusFromResponse(const http::Response& aResponse, const core::Endpoint& aPeer)
{
  const uint32_t status = aResponse.m_head.m_status;
  const bool isNotExecuted = status == kTooManyRequests;
  return core::ToStatus(core::PeerRefused{
    http::ToText(aPeer),
    status,
    isNotExecuted ? core::Executed::No : core::Executed::Unknown });
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
ResolveConflictResponse(const http::Response& aResponse,
                        const WriteRequest& aWrite)
{
  const absl::StatusOr<StoredObject> found = kernel::ParseMessage<StoredObject>(
    aResponse.m_body, "conflict", [&](kernel::SettingsReader& aReader) {
      return ParseObject(aReader, aWrite.m_key.m_kind);
    });
  if (!found.ok()) {
    return found.status();
  }
  return ResolveWriteConflict(aWrite, *found);
}

http::Request
EncodeRead(const ObjectKey& aKey, Freshness)
{
  http::Request request;
  request.m_target = MakeObjectTarget(aKey);
  return request;
}

absl::StatusOr<StoredObject>
DecodeRead(const ObjectKey& aKey,
           const http::Response& aResponse,
           const core::Endpoint& aPeer)
{
  if (aResponse.m_head.m_status == kNotFound) {
    return MakeMissingObject(aKey);
  }
  if (aResponse.m_head.m_status != kOk) {
    return StatusFromResponse(aResponse, aPeer);
  }
  return kernel::ParseMessage<StoredObject>(
    aResponse.m_body, "object", [&](kernel::SettingsReader& aReader) {
      return ParseObject(aReader, aKey.m_kind);
    });
}

http::Request
EncodeWrite(const WriteRequest& aWrite)
{
  boost::json::object body;
  body["if_version"] = aWrite.m_expectedVersion;
  body["token"] = aWrite.m_token;
  body["value"] = aWrite.m_value;
  http::Request request;
  request.m_method = "PUT";
  request.m_target = MakeObjectTarget(aWrite.m_key);
  request.m_body = boost::json::serialize(body);
  return request;
}

absl::StatusOr<uint64_t>
DecodeWrite(const WriteRequest& aWrite,
            const http::Response& aResponse,
            const core::Endpoint& aPeer)
{
  if (aResponse.m_head.m_status == kConflict) {
    return ResolveConflictResponse(aResponse, aWrite);
  }
  if (aResponse.m_head.m_status != kOk) {
    return StatusFromResponse(aResponse, aPeer);
  }
  return kernel::ParseMessage<uint64_t>(
    aResponse.m_body, "write response", [](kernel::SettingsReader& aReader) {
      return static_cast<uint64_t>(
        aReader.Integer("version", { 0, kMaxVersion }));
    });
}

http::Request
EncodeRemove(const ObjectKey& aKey)
{
  return MakeRemoveRequest(MakeObjectTarget(aKey));
}

http::Request
EncodeStatus(const ObjectKey& aKey, std::string_view aValue)
{
  http::Request request;
  request.m_method = "PUT";
  request.m_target = MakeObjectTarget(aKey) + "/status";
  request.m_body = aValue;
  return request;
}

http::Request
EncodeList(const ListRequest& aList)
{
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(aList.m_maxWait);
  http::Request request;
  request.m_target = "/watch/" + aList.m_kind + "?after=" +
                     std::to_string(aList.m_afterRevision.value_or(0)) +
                     "&wait_ms=" + std::to_string(wait.count());
  return request;
}

std::optional<core::Duration>
ParseConfirmation(const http::Response& aResponse)
{
  const std::string_view text =
    http::FindHeader(aResponse.m_head.m_headers, kConfirmedHeader);
  int32_t milliseconds = 0;
  if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()),
                        &milliseconds)) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(milliseconds);
}

absl::StatusOr<ObjectList>
DecodeList(const ListRequest& aList,
           const http::Response& aResponse,
           const core::Endpoint& aPeer)
{
  if (aResponse.m_head.m_status == kGone) {
    return core::ToStatus(core::WatchGap{ aList.m_kind });
  }
  if (aResponse.m_head.m_status != kOk) {
    return StatusFromResponse(aResponse, aPeer);
  }
  absl::StatusOr<ObjectList> list = kernel::ParseMessage<ObjectList>(
    aResponse.m_body, "list", [&](kernel::SettingsReader& aReader) {
      ObjectList list;
      list.m_revision =
        static_cast<uint64_t>(aReader.Integer("revision", { 0, kMaxVersion }));
      aReader.ForEach(
        "objects",
        [&](const boost::json::value& aValue, std::string_view aPath) {
          kernel::SettingsReader element(aValue, aPath, aReader.Errors());
          list.m_objects.push_back(ParseObject(element, aList.m_kind));
        });
      return list;
    });
  if (!list.ok()) {
    // The error of the parser names values, and objects of the store may
    // contain secrets, such as API keys of customers.
    return core::ToStatus(core::InvalidInput{
      "list of " + aList.m_kind, "a list of the built-in object API" });
  }
  list->m_confirmedAfterArrival = ParseConfirmation(aResponse);
  return list;
}

const ObjectCodec kBuiltInCodec{
  .m_encodeRead = EncodeRead,
  .m_decodeRead = DecodeRead,
  .m_encodeWrite = EncodeWrite,
  .m_decodeWrite = DecodeWrite,
  .m_encodeStatus = EncodeStatus,
  .m_encodeRemove = EncodeRemove,
  .m_encodeList = EncodeList,
  .m_decodeList = DecodeList,
  .m_hostKinds = kHostKinds,
};

} // namespace

const ObjectCodec&
BuiltInCodec()
{
  return kBuiltInCodec;
}

std::string
EncodeBuiltInList(uint64_t aRevision, std::span<const StoredObject> aObjects)
{
  boost::json::array objects;
  for (const StoredObject& object : aObjects) {
    objects.push_back({ { "name", object.m_key.m_name },
                        { "version", object.m_version },
                        { "value", object.m_value },
                        { "token", object.m_writeToken } });
  }
  const boost::json::value body{ { "revision", aRevision },
                                 { "objects", std::move(objects) } };
  return boost::json::serialize(body);
}

void
AddConfirmation(http::Response& aResponse, core::Duration aAfterArrival)
{
  // Rounded down, so that the state does not seem newer than it is.
  const auto milliseconds =
    std::chrono::floor<std::chrono::milliseconds>(aAfterArrival);
  aResponse.m_head.m_headers.push_back(
    { std::string(kConfirmedHeader), std::to_string(milliseconds.count()) });
}

StoredObject
MakeMissingObject(const ObjectKey& aKey)
{
  StoredObject missing;
  missing.m_key = aKey;
  return missing;
}

http::Request
MakeRemoveRequest(std::string aTarget)
{
  http::Request request;
  request.m_method = "DELETE";
  request.m_target = std::move(aTarget);
  return request;
}

absl::StatusOr<uint64_t>
ResolveWriteConflict(const WriteRequest& aWrite, const StoredObject& aFound)
{
  // The conflict may be with this same write, whose response was lost. An empty
  // token means that the stored object could not be read, so it never matches.
  if (!aFound.m_writeToken.empty() && aFound.m_writeToken == aWrite.m_token) {
    return aFound.m_version;
  }
  return core::ToStatus(
    core::VersionConflict{ aWrite.m_expectedVersion, aFound.m_version });
}

ObjectCodecRegistration::ObjectCodecRegistration(const ObjectCodec& aCodec)
{
  kernel::CodecRegistry<ObjectCodec>::Register(aCodec);
}

const ObjectCodec&
CodecInUse()
{
  return kernel::CodecRegistry<ObjectCodec>::GetOrDefault(kBuiltInCodec);
}

} // namespace heatherdeal::objectstore
