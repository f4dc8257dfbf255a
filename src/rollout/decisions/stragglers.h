#pragma once

#include "rollout/shard.h"

namespace heatherdeal::rollout {

/// Moves the samples that a waiting pull lacks, if the policy says so.
void
MigrateStragglers(ShardState& aState,
                  core::Instant aNow,
                  std::vector<ShardEffect>& aEffects);

} // namespace heatherdeal::rollout
