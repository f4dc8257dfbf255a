#pragma once

#include "rollout/shard.h"

namespace heatherdeal::rollout {

/// How many groups may be in work or ready at once.
size_t
GroupsAllowed(const ShardState& aState);

/// Whether an engine's weights are new enough to begin a sample on it.
bool
IsFreshEnough(const ShardState& aState, const EngineView& aEngine);

/// The first group, from aFrom on, that is neither held nor in work.
core::GroupOrdinal
NextGroup(const ShardState& aState, core::GroupOrdinal aFrom);

} // namespace heatherdeal::rollout
