#pragma once

#include "rollout/shard.h"

namespace heatherdeal::rollout {

/// Starts scoring if every sample of the group is finished.
void
StartScoringIfFinished(ShardState& aState,
                       core::GroupOrdinal aOrdinal,
                       GroupProgress& aGroup,
                       core::Instant aNow,
                       std::vector<ShardEffect>& aEffects);

/// Counts a scoring failure and schedules the next attempt.
void
RecordScoringFailure(ShardState& aState,
                     GroupProgress& aGroup,
                     core::Instant aNow);

/// Returns the group if the attempt is its scoring request in flight. Otherwise
/// counts an outdated event and returns null.
GroupProgress*
FindGroupInScoring(ShardState& aState,
                   core::GroupOrdinal aOrdinal,
                   uint32_t aAttempt);

/// Fails scoring requests that have timed out and starts retries that are due.
void
RetryScoring(ShardState& aState,
             core::Instant aNow,
             std::vector<ShardEffect>& aEffects);

} // namespace heatherdeal::rollout
