#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/weightversion.h"

namespace heatherdeal::gossip {

/// The newest known version of a set of weights.
struct VersionUpdate
{
  std::string m_weights;
  core::WeightVersion m_version;

  bool operator==(const VersionUpdate&) const = default;
};

/// The status that a host publishes about itself. Of two statuses of a host,
/// the one with the higher incarnation is newer; if these are equal, the one
/// with the higher heartbeat.
struct HostStatus
{
  std::string m_host;
  /// Increases with each start of the host, and when the host receives a newer
  /// status of itself from before a restart.
  uint64_t m_incarnation = 0;
  /// Increases with each gossip round and each status change.
  uint64_t m_heartbeat = 0;
  bool m_leaving = false;
  /// Generation of the configuration that is active on the host.
  uint64_t m_generation = 0;

  bool operator==(const HostStatus&) const = default;
};

/// Reports that a watch of an object kind missed changes up to a revision.
struct MissedChanges
{
  std::string m_kind;
  uint64_t m_revision = 0;

  bool operator==(const MissedChanges&) const = default;
};

/// What a plug-in tells its peers on other hosts. Only it knows the encoding.
struct TopicMessage
{
  std::string m_topic;
  std::string m_payload;

  bool operator==(const TopicMessage&) const = default;
};

/// A gossip message. The first host is the sender; the others are a random
/// sample of the hosts that the sender knows.
struct Digest
{
  std::vector<HostStatus> m_hosts;
  std::vector<VersionUpdate> m_versions;
  std::vector<MissedChanges> m_missedChanges;
  std::vector<TopicMessage> m_topicMessages;

  bool operator==(const Digest&) const = default;
};

// The decoder checks these limits before it allocates memory.
inline constexpr size_t kMaxNameBytes = 64;
inline constexpr size_t kMaxHostsPerDigest = 24;
inline constexpr size_t kMaxVersionsPerDigest = 8;
inline constexpr size_t kMaxMissedChangesPerDigest = 2;
inline constexpr size_t kMaxTopicMessagesPerDigest = 4;
inline constexpr size_t kMaxTopicBytes = 800;

} // namespace heatherdeal::gossip
