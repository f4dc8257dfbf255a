#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace heatherdeal::batches {

// The kinds of the objects that make up a batch in the object store.
inline constexpr std::string_view kPlacementKind = "batches";
inline constexpr std::string_view kItemsKind = "batchitems";
inline constexpr std::string_view kResultsKind = "batchresults";
inline constexpr std::string_view kCheckpointKind = "batchcheckpoints";

/// The service name of hosts that run batches, in the host list.
inline constexpr std::string_view kHostService = "rollout";

/// The number of hosts that share the batches. Each of them opens connections
/// to all engines and fills them without knowing of the others, so they are
/// few. All hosts must use the same number.
inline constexpr size_t kActiveOwners = 2;

/// Returns the object name of a chunk of results.
inline std::string
ChunkName(std::string_view aBatch, uint64_t aChunkNumber)
{
  return std::string(aBatch) + "." + std::to_string(aChunkNumber);
}

} // namespace heatherdeal::batches
