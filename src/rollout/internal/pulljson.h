#pragma once

#include "absl/status/statusor.h"

#include "rollout/internal/signals.h"

namespace heatherdeal::rollout {

/// A pull as a trainer sends it.
struct PullMessage
{
  core::ShardId m_shard;
  delivery::Cursor m_cursor;
  /// How long the answer may take, counted from its arrival.
  core::Duration m_wait{};
};

absl::StatusOr<PullMessage>
ParsePull(std::string_view aBody);

std::string
ToJson(const BatchAnswer& aAnswer);

} // namespace heatherdeal::rollout
