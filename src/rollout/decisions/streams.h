#pragma once

#include "rollout/shard.h"

namespace heatherdeal::rollout {

/// Cancels the sample's stream if one runs.
void
Stop(ShardState& aState,
     const core::SampleId& aId,
     SampleProgress& aSample,
     std::vector<ShardEffect>& aEffects);

/// Throws away what is held of a sample and queues it again.
void
Restart(ShardState& aState,
        const core::SampleId& aId,
        SampleProgress& aSample,
        std::vector<ShardEffect>& aEffects);

/// The sample that has grown; null if the tokens were not taken.
const SampleProgress*
AcceptTokens(ShardState& aState,
             const TokensArrived& aEvent,
             core::Instant aNow,
             std::vector<ShardEffect>& aEffects);

/// Null if the event is late or the stream ended short; otherwise the group
/// of the sample that is now finished.
GroupProgress*
EndStream(ShardState& aState,
          const StreamEnded& aEvent,
          core::Instant aNow,
          std::vector<ShardEffect>& aEffects);

/// Queues the rest of the sample. Returns its group if the sample has
/// reached the crash limit, null otherwise.
GroupProgress*
FailStream(ShardState& aState, const StreamFailed& aEvent, core::Instant aNow);

/// Requeues samples whose stream has made no progress in time.
void
RequeueStalled(ShardState& aState,
               core::Instant aNow,
               std::vector<ShardEffect>& aEffects);

/// Requeues samples whose engine is no longer reported.
void
RequeueLostEngines(ShardState& aState, std::vector<ShardEffect>& aEffects);

/// Starts queued samples on engines with room, those with tokens first.
void
StartQueued(ShardState& aState,
            core::Instant aNow,
            std::vector<ShardEffect>& aEffects);

} // namespace heatherdeal::rollout
