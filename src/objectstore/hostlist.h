#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"

#include "core/ids.h"
#include "core/weightversion.h"
#include "objectstore/object.h"

namespace heatherdeal::objectstore {

/// The roles of this system's own hosts that other modules look for.
inline constexpr std::string_view kEntryRole = "entry";
inline constexpr std::string_view kRolloutRole = "rollout";

/// The upstream rejects orders that carry an outdated fencing token.
struct ChecksFencingToken
{};

/// The upstream executes orders without checking their fencing token.
struct IgnoresFencingToken
{};

/// Whether an upstream checks the fencing token of an order.
using FencingCheck = std::variant<ChecksFencingToken, IgnoresFencingToken>;

/// The version of one set of weights that a host serves.
struct ServedWeights
{
  std::string m_name;
  core::WeightVersion m_version;
};

/// One entry of the platform's host list, which may be out of date.
struct HostEntry
{
  std::string m_name;
  /// Role of the host: the name of a service, or "entry", "rollout" or
  /// "controller".
  std::string m_service;
  core::Endpoint m_endpoint;
  core::FailureDomainId m_failureDomain;
  /// Number of requests that the host can process at the same time.
  uint32_t m_slots = 1;
  bool m_leaving = false;
  /// UDP port for gossip; 0 if the host does not take part in it.
  uint16_t m_gossipPort = 0;
  FencingCheck m_fencingCheck = ChecksFencingToken{};
  std::vector<ServedWeights> m_weights;
  core::SoftwareVersion m_softwareVersion;
  /// Changes each time a host restarts under the same name; 0 if unknown.
  uint64_t m_incarnation = 0;
};

/// Parses a host entry. Returns InvalidInput if the value is not a valid one.
absl::StatusOr<HostEntry>
ParseHostEntry(const StoredObject& aObject);

/// Returns the valid entries and adds the number of invalid ones to
/// aInvalidCount.
std::vector<HostEntry>
ParseHostList(std::span<const StoredObject> aObjects, uint64_t& aInvalidCount);

} // namespace heatherdeal::objectstore
