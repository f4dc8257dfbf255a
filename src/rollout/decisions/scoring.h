#pragma once

#include "rollout/shard.h"

namespace heatherdeal::rollout {

/// Begins scoring once every sample is finished.
void
ScoreIfWhole(ShardState& aState,
             core::GroupOrdinal aOrdinal,
             GroupProgress& aGroup,
             core::Instant aNow,
             std::vector<ShardEffect>& aEffects);

/// Counts the failure and plans the next try.
void
ScoringAttemptFailed(ShardState& aState,
                     GroupProgress& aGroup,
                     core::Instant aNow);

/// The group whose running scoring call this is; null if it is a late one.
GroupProgress*
FindScoring(ShardState& aState, core::GroupOrdinal aOrdinal, uint32_t aAttempt);

/// Gives up calls past their deadline and begins those that are due.
void
RetryScoring(ShardState& aState,
             core::Instant aNow,
             std::vector<ShardEffect>& aEffects);

} // namespace heatherdeal::rollout
