#pragma once

#include "rollout/shard.h"

namespace heatherdeal::rollout {

/// Migrates the samples that a waiting pull still needs to less loaded engines,
/// if the policy allows it.
void
MigrateStragglers(ShardState& aState,
                  core::Instant aNow,
                  std::vector<ShardEffect>& aEffects);

} // namespace heatherdeal::rollout
