#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

#include "core/ids.h"
#include "core/instant.h"
#include "http/message.h"
#include "objectstore/object.h"

namespace heatherdeal::objectstore {

/// A conditional write, with a token that identifies it when it is read back.
struct WriteRequest
{
  ObjectKey m_key;
  /// Version that the object must have; 0 if it must not exist.
  uint64_t m_expectedVersion = 0;
  std::string m_value;
  std::string m_token;
};

/// Lists the objects of a kind, or waits for changes to them.
struct ListRequest
{
  std::string m_kind;
  /// Long poll: the response is sent once there are changes newer than this
  /// revision. Without a value, the whole kind is listed immediately.
  std::optional<uint64_t> m_afterRevision;
  /// Last name of the previous page when a truncated list is continued.
  std::string m_continueAfterName;
  /// Maximum duration of a long poll.
  core::Duration m_maxWait{};
};

/// An entry of a list that can't be read, or whose content does not fit its
/// kind.
struct UnreadableObject
{
  /// Empty if the entry has no name that can be read.
  std::string m_name;
  uint64_t m_version = 0;

  auto operator<=>(const UnreadableObject&) const = default;
};

/// All objects of a kind, or the changes since the requested revision.
struct ObjectList
{
  uint64_t m_revision = 0;
  std::vector<StoredObject> m_objects;
  /// Those with a name are in m_objects too, with an empty value.
  std::vector<UnreadableObject> m_unreadable;
  /// Names of the objects that were removed since the requested revision.
  std::vector<std::string> m_removedNames;
  /// True if m_objects holds the whole kind instead of changes.
  bool m_isFullList = true;
  /// True if further pages of the list follow.
  bool m_isTruncated = false;
  /// When the sender last had the newest state, counted from the arrival of
  /// the request, so mostly negative. Without a value, the sender does not say.
  std::optional<core::Duration> m_confirmedAfterArrival;
};

/// Encodes the requests and decodes the responses of one object API.
struct ObjectCodec
{
  http::Request (*m_encodeRead)(const ObjectKey& aKey,
                                Freshness aFreshness) = nullptr;
  /// Decodes a missing object as version 0.
  absl::StatusOr<StoredObject> (*m_decodeRead)(const ObjectKey& aKey,
                                               const http::Response& aResponse,
                                               const core::Endpoint& aPeer) =
    nullptr;
  http::Request (*m_encodeWrite)(const WriteRequest& aWrite) = nullptr;
  /// Returns the version written, or a VersionConflict.
  absl::StatusOr<uint64_t> (*m_decodeWrite)(const WriteRequest& aWrite,
                                            const http::Response& aResponse,
                                            const core::Endpoint& aPeer) =
    nullptr;
  /// Encodes an update of the status of an object that an operator wrote.
  http::Request (*m_encodeStatus)(const ObjectKey& aKey,
                                  std::string_view aValue) = nullptr;
  http::Request (*m_encodeRemove)(const ObjectKey& aKey) = nullptr;
  http::Request (*m_encodeList)(const ListRequest& aList) = nullptr;
  absl::StatusOr<ObjectList> (*m_decodeList)(const ListRequest& aList,
                                             const http::Response& aResponse,
                                             const core::Endpoint& aPeer) =
    nullptr;
  /// The kinds whose objects are host entries.
  std::span<const std::string_view> m_hostKinds;
};

/// Returns the encoding of heatherdeal's built-in object API.
const ObjectCodec&
BuiltInCodec();

/// Encodes the response to a list request of the built-in object API.
std::string
EncodeBuiltInList(uint64_t aRevision, std::span<const StoredObject> aObjects);

/// Adds ObjectList::m_confirmedAfterArrival to the response to a list request
/// of the built-in object API.
void
AddConfirmation(http::Response& aResponse, core::Duration aAfterArrival);

// Helpers shared by the encodings.

/// Returns the result of reading an object that does not exist.
StoredObject
MakeMissingObject(const ObjectKey& aKey);

/// Returns a DELETE request for aTarget.
http::Request
MakeRemoveRequest(std::string aTarget);

/// Resolves a version conflict. Returns the version found if it was created by
/// aWrite itself, whose first response was lost; VersionConflict otherwise.
absl::StatusOr<uint64_t>
ResolveWriteConflict(const WriteRequest& aWrite, const StoredObject& aFound);

/// Registers another encoding during static initialization, in binaries that
/// use it instead of the built-in one.
struct ObjectCodecRegistration
{
  explicit ObjectCodecRegistration(const ObjectCodec& aCodec);
};

/// Returns the registered encoding, or the built-in one if there is none.
const ObjectCodec&
CodecInUse();

} // namespace heatherdeal::objectstore
