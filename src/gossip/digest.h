#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/weightversion.h"

namespace heatherdeal::gossip {

/// The newest version of one set of weights.
struct VersionNews
{
  std::string m_weights;
  core::WeightVersion m_version;

  bool operator==(const VersionNews&) const = default;
};

/// What is told of one host. A higher incarnation, and within it a higher
/// heartbeat, is newer.
struct HostNews
{
  std::string m_host;
  uint64_t m_incarnation = 0;
  uint64_t m_heartbeat = 0;
  bool m_leaving = false;
  /// Generation of the configuration in force there.
  uint64_t m_generation = 0;

  bool operator==(const HostNews&) const = default;
};

/// A watch of this kind of objects missed changes up to a revision.
struct KindNews
{
  std::string m_kind;
  uint64_t m_revision = 0;

  bool operator==(const KindNews&) const = default;
};

/// One message: the sender's own news first, then some that it has heard.
struct Digest
{
  std::vector<HostNews> m_hosts;
  std::vector<VersionNews> m_versions;
  std::vector<KindNews> m_kinds;

  bool operator==(const Digest&) const = default;
};

/// Bounds that a decoder holds before it makes room.
inline constexpr size_t kMaxNameBytes = 64;
inline constexpr size_t kMaxHostsPerDigest = 24;
inline constexpr size_t kMaxVersionsPerDigest = 8;
inline constexpr size_t kMaxKindsPerDigest = 2;

} // namespace heatherdeal::gossip
