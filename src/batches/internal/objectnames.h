#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace heatherdeal::batches {

/// Kinds of the objects that make up a batch in the object store.
inline constexpr std::string_view kPlacementKind = "batches";
inline constexpr std::string_view kItemsKind = "batchitems";
inline constexpr std::string_view kResultsKind = "batchresults";
inline constexpr std::string_view kCheckpointKind = "batchcheckpoints";

/// What a host that runs batches is called in the host list.
inline constexpr std::string_view kHostService = "rollout";

inline std::string
ChunkName(std::string_view aBatch, uint64_t aNumber)
{
  return std::string(aBatch) + "." + std::to_string(aNumber);
}

} // namespace heatherdeal::batches
