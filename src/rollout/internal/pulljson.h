#pragma once

#include "absl/status/statusor.h"

#include "rollout/internal/shardmessages.h"

namespace heatherdeal::rollout {

/// Holds a trainer's pull request as decoded from JSON.
struct PullMessage
{
  core::ShardId m_shard;
  delivery::Cursor m_cursor;
  /// How long the request may wait for a batch after its arrival.
  core::Duration m_maxWait{};
};

/// Parses the body of a pull request. Returns InvalidInput if it is malformed.
absl::StatusOr<PullMessage>
ParsePull(std::string_view aBody);

/// Serializes the response to a pull request.
std::string
ToJson(const BatchResponse& aResponse);

} // namespace heatherdeal::rollout
