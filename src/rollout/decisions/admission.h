#pragma once

#include "rollout/shard.h"

namespace heatherdeal::rollout {

/// Returns how many groups may be in progress or ready at the same time.
size_t
ComputeMaxConcurrentGroups(const ShardState& aState);

/// Returns true if the engine's weights are new enough to start a sample.
bool
HasFreshEnoughWeights(const ShardState& aState, const EngineState& aEngine);

/// Returns the first group, starting at aFrom, that is neither done nor in
/// progress.
core::GroupOrdinal
FindFirstUnstartedGroup(const ShardState& aState, core::GroupOrdinal aFrom);

} // namespace heatherdeal::rollout
