#pragma once

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "objectstore/hosts.h"

namespace heatherdeal::batches {

// The kinds of the objects that make up a batch in the object store.
inline constexpr std::string_view kPlacementKind = "batches";
inline constexpr std::string_view kItemsKind = "batchitems";
inline constexpr std::string_view kResultsKind = "batchresults";
inline constexpr std::string_view kCheckpointKind = "batchcheckpoints";

/// The service name of hosts that run batches, in the host list.
inline constexpr std::string_view kHostService = objectstore::kRolloutRole;

/// Returns the number of upstreams in the host list. Only hosts of our own take
/// part in gossip.
inline size_t
CountUpstreams(std::span<const objectstore::HostEntry> aHosts)
{
  return static_cast<size_t>(
    std::ranges::count_if(aHosts, [](const objectstore::HostEntry& aHost) {
      return aHost.m_gossipPort == 0;
    }));
}

/// Returns the object name of a chunk of results.
inline std::string
ChunkName(std::string_view aBatch, uint64_t aChunkNumber)
{
  return std::string(aBatch) + "." + std::to_string(aChunkNumber);
}

} // namespace heatherdeal::batches
