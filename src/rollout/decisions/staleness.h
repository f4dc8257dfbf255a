#pragma once

#include "rollout/shard.h"

namespace heatherdeal::rollout {

/// Restarts the samples of a group that exceed the staleness bound.
void
RestartStaleSamples(ShardState& aState,
                    core::GroupOrdinal aOrdinal,
                    GroupProgress& aGroup,
                    std::vector<ShardEffect>& aEffects);

/// Returns true if the trainer's next version would make the sample exceed the
/// staleness bound.
bool
IsAtStalenessBound(const ShardState& aState, const SampleProgress& aSample);

/// Returns true while the group is being generated or scored.
bool
IsInProgress(const GroupProgress& aGroup);

/// Returns true if the trainer's next batch must wait for a group in progress.
bool
ShouldHoldDelivery(const ShardState& aState);

} // namespace heatherdeal::rollout
