#pragma once

#include "rollout/shard.h"

namespace heatherdeal::rollout {

/// Restarts the samples of a group that the staleness bound rules out.
void
RestartTooOld(ShardState& aState,
              core::GroupOrdinal aOrdinal,
              GroupProgress& aGroup,
              std::vector<ShardEffect>& aEffects);

/// True if the trainer's next version would make a sample too old.
bool
IsAtBound(const ShardState& aState, const SampleProgress& aSample);

/// True while the group is generated or scored.
bool
IsInWork(const GroupProgress& aGroup);

/// True if the trainer's next batch has to wait for a group in work.
bool
MustHold(const ShardState& aState);

} // namespace heatherdeal::rollout
