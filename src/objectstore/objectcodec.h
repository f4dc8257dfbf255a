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

/// One conditional write, with what is needed to recognise it later.
struct WriteRequest
{
  ObjectKey m_key;
  /// Version that the object must have; 0: it must not exist.
  uint64_t m_ifVersion = 0;
  std::string m_value;
  std::string m_token;
};

/// Asks for the objects of a kind.
struct ListRequest
{
  std::string m_kind;
  /// Answer when something is newer than this revision; none: list now.
  std::optional<uint64_t> m_after;
  /// Go on with a list that was cut short behind this name.
  std::string m_continueAfter;
  core::Duration m_wait{};
};

/// The whole kind, or what has changed since the revision asked for.
struct ObjectList
{
  uint64_t m_revision = 0;
  std::vector<StoredObject> m_objects;
  std::vector<std::string> m_removed;
  bool m_isWhole = true;
  /// More objects of a whole list follow behind the last one.
  bool m_isTruncated = false;
};

/// How calls and answers of one object API are encoded.
struct ObjectCodec
{
  http::Request (*m_encodeRead)(const ObjectKey& aKey,
                                Freshness aFreshness) = nullptr;
  /// A missing object is decoded to version 0.
  absl::StatusOr<StoredObject> (*m_decodeRead)(const ObjectKey& aKey,
                                               const http::Response& aAnswer,
                                               const core::Endpoint& aPeer) =
    nullptr;
  http::Request (*m_encodeWrite)(const WriteRequest& aWrite) = nullptr;
  /// The version written, or a VersionConflict.
  absl::StatusOr<uint64_t> (*m_decodeWrite)(const WriteRequest& aWrite,
                                            const http::Response& aAnswer,
                                            const core::Endpoint& aPeer) =
    nullptr;
  /// Sets the status of an object that an operator wrote.
  http::Request (*m_encodeStatus)(const ObjectKey& aKey,
                                  std::string_view aValue) = nullptr;
  http::Request (*m_encodeRemove)(const ObjectKey& aKey) = nullptr;
  http::Request (*m_encodeList)(const ListRequest& aList) = nullptr;
  absl::StatusOr<ObjectList> (*m_decodeList)(const ListRequest& aList,
                                             const http::Response& aAnswer,
                                             const core::Endpoint& aPeer) =
    nullptr;
  /// Kinds whose objects are host entries.
  std::span<const std::string_view> m_hostKinds;
};

/// The encoding of heatherdeal's own object API.
const ObjectCodec&
OwnCodec();

/// The answer to a list request of the own encoding.
std::string
EncodeOwnList(uint64_t aRevision, std::span<const StoredObject> aObjects);

// Steps that encodings share.

/// What a read returns of an object that is not there.
StoredObject
MissingObject(const ObjectKey& aKey);

http::Request
RemoveRequest(std::string aTarget);

/// The version if the conflict is with the write itself, whose answer was
/// lost; VersionConflict otherwise.
absl::StatusOr<uint64_t>
VersionAfterConflict(const WriteRequest& aWrite, const StoredObject& aFound);

/// Registers another encoding before main, for binaries that speak it.
struct ObjectCodecRegistration
{
  explicit ObjectCodecRegistration(const ObjectCodec& aCodec);
};

/// The registered encoding, or the own one.
const ObjectCodec&
CodecInUse();

} // namespace heatherdeal::objectstore
