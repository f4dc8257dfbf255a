#pragma once

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "core/ids.h"
#include "core/instant.h"

namespace heatherdeal::resumption {

/// The id of the request whose response brought the first event of a stream.
using StreamId = core::Name<struct StreamTag>;

/// How long a stream may be resumed after it began.
inline constexpr core::Duration kOriginLifetime = std::chrono::seconds(60);

/// Which software began a stream.
struct StreamOrigin
{
  StreamId m_stream;
  /// Nothing if two streams began under this id at different software.
  std::optional<core::Software> m_software;
  core::Instant m_expiresAt{};
};

/// The origins of recent streams. Forgets the oldest ones beyond a fixed
/// number.
struct OriginTable
{
  std::map<StreamId, StreamOrigin> m_byStream;
  /// In the order in which they were added.
  std::deque<StreamId> m_order;
};

/// Adds an origin, and drops those that have expired.
void
AddOrigin(OriginTable& aTable, const StreamOrigin& aOrigin, core::Instant aNow);

/// Returns the software that began the stream, if it is known.
std::optional<core::Software>
FindSoftware(const OriginTable& aTable,
             const StreamId& aStream,
             core::Instant aNow);

/// Returns the origins of both lists that have not expired, oldest first.
std::vector<StreamOrigin>
MergeOrigins(std::span<const StreamOrigin> aStored,
             std::span<const StreamOrigin> aOwn,
             core::Instant aNow);

} // namespace heatherdeal::resumption
