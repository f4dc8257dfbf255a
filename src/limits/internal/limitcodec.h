#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "limits/limits.h"

namespace heatherdeal::limits {

/// Returns the binary encoding of as much of the message as fits into
/// aMaxBytes, limits first; "" if it has no limits. Times are encoded as their
/// age at aNow in milliseconds.
std::string
EncodeMessage(const LimitMessage& aMessage,
              size_t aMaxBytes,
              core::Instant aNow);

/// Decodes a message that has arrived at aNow. Returns InvalidInput if the
/// bytes are truncated or exceed a limit, or if a rate is negative or not
/// finite.
absl::StatusOr<LimitMessage>
DecodeMessage(std::string_view aBytes, core::Instant aNow);

} // namespace heatherdeal::limits
