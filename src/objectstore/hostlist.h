#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"

#include "core/ids.h"
#include "core/weightversion.h"
#include "objectstore/object.h"

namespace heatherdeal::objectstore {

/// Refuses orders with an old fencing number.
struct ChecksFence
{};

/// Takes orders from anyone.
struct IgnoresFence
{};

/// Whether an upstream checks who gives it an order.
using Fencing = std::variant<ChecksFence, IgnoresFence>;

/// The version of one set of weights that a host serves.
struct ServedWeights
{
  std::string m_name;
  core::WeightVersion m_version;
};

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
  std::vector<ServedWeights> m_weights;
  /// Differs between the starts of a host that keeps its name; 0: not told.
  uint64_t m_incarnation = 0;
};

/// InvalidInput if the value is no host entry.
absl::StatusOr<HostEntry>
ParseHostEntry(const StoredObject& aObject);

/// The entries that parse; aInvalid counts the others.
std::vector<HostEntry>
ParseHostList(std::span<const StoredObject> aObjects, uint64_t& aInvalid);

} // namespace heatherdeal::objectstore
