#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"

#include "core/ids.h"
#include "platform/object.h"

namespace heatherdeal::platform {

/// Refuses orders with an old fencing number.
struct ChecksFence
{};

/// Takes orders from anyone.
struct IgnoresFence
{};

/// Whether an upstream checks who gives it an order.
using Fencing = std::variant<ChecksFence, IgnoresFence>;

/// One line of the platform's host list. It lags behind.
struct HostEntry
{
  std::string m_name;
  /// What runs there: a service's name, or "entry", "rollout", "controller".
  std::string m_service;
  core::Endpoint m_endpoint;
  core::FailureDomainId m_failureDomain;
  uint32_t m_slots = 1;
  bool m_leaving = false;
  /// UDP port of the system's own messages; 0 for other hosts.
  uint16_t m_gossipPort = 0;
  Fencing m_fencing = ChecksFence{};
};

/// InvalidInput if the value is no host entry.
absl::StatusOr<HostEntry>
ParseHostEntry(const StoredObject& aObject);

/// The entries that parse; aInvalid counts the others.
std::vector<HostEntry>
ParseHostList(std::span<const StoredObject> aObjects, uint64_t& aInvalid);

} // namespace heatherdeal::platform
