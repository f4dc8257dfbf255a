#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/instant.h"

namespace heatherdeal::relay {

/// What a call by way of another host, or its gossip, showed about it.
enum class PeerOutcome
{
  /// It reached an upstream.
  Reached,
  /// It does not reach upstreams, or cannot be reached itself.
  Unreachable,
};

/// What this host knows of another one as a way to the upstreams.
struct PeerState
{
  core::Instant m_reachedUntil{};
  core::Instant m_avoidUntil{};
};

/// The hosts of which something was learned lately, by name.
using PeerTable = std::map<std::string, PeerState, std::less<>>;

/// A host that calls may go to.
struct PeerCandidate
{
  std::string_view m_name;
  /// True if the host serves callers. The others are busy with batches, and are
  /// chosen only after a host of this kind has failed.
  bool m_isEntry = true;
};

void
RecordOutcome(PeerTable& aTable,
              std::string_view aPeer,
              PeerOutcome aOutcome,
              core::Instant aNow);

/// Returns the index of the candidate to send a call to, if any: one that
/// reached upstreams lately, else any that is not known to be cut off. Those in
/// aTried are left out. aSequence distributes calls over equal candidates.
std::optional<size_t>
ChoosePeer(const PeerTable& aTable,
           std::span<const PeerCandidate> aCandidates,
           std::span<const std::string> aTried,
           uint64_t aSequence,
           core::Instant aNow);

} // namespace heatherdeal::relay
