#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "core/ids.h"
#include "relay/relay.h"

namespace heatherdeal::relay {

/// The longest time that a call by way of another host may have left.
inline constexpr int64_t kMaxTimeLeftMs = INT32_MAX;

/// What the other host has to know of a call beside the request itself.
struct CallDescription
{
  std::string m_id;
  std::string m_route;
  uint64_t m_generation = 0;
  int64_t m_timeLeftMs = 0;
  /// 0 for requests of batches.
  uint64_t m_fingerprint = 0;
  StreamPosition m_position;
  /// Empty if the call belongs to no customer.
  core::CustomerId m_customer;
};

/// Encodes the description as JSON for a header.
std::string
ToJson(const CallDescription& aDescription);

/// Decodes what ToJson returns. Fails with InvalidInput if it is malformed.
absl::StatusOr<CallDescription>
ParseDescription(std::string_view aText);

} // namespace heatherdeal::relay
