#pragma once

#include "rollout/shard.h"

namespace heatherdeal::rollout {

/// Cancels the stream of a running sample and queues the sample again. Its
/// tokens are kept.
void
CancelSampleStream(ShardState& aState,
                   const core::SampleId& aId,
                   SampleProgress& aSample,
                   std::vector<ShardEffect>& aEffects);

/// Discards the tokens of a sample and queues it again.
void
RestartSample(ShardState& aState,
              const core::SampleId& aId,
              SampleProgress& aSample,
              std::vector<ShardEffect>& aEffects);

/// Adds tokens to their sample. Returns the sample, or null if the tokens were
/// rejected.
const SampleProgress*
AppendSampleTokens(ShardState& aState,
                   const TokensArrived& aEvent,
                   core::Instant aNow,
                   std::vector<ShardEffect>& aEffects);

/// Marks the sample as finished and returns its group. Returns null if the
/// event is outdated or tokens are missing; in the latter case the sample
/// restarts.
GroupProgress*
FinishSample(ShardState& aState,
             const StreamEnded& aEvent,
             core::Instant aNow,
             std::vector<ShardEffect>& aEffects);

/// Queues the sample again with the tokens received so far. Returns its group
/// if the sample has reached the crash limit, null otherwise.
GroupProgress*
RequeueFailedSample(ShardState& aState,
                    const StreamFailed& aEvent,
                    core::Instant aNow);

/// Cancels streams that have reached their progress deadline and queues their
/// samples again.
void
RequeueStalledSamples(ShardState& aState,
                      core::Instant aNow,
                      std::vector<ShardEffect>& aEffects);

/// Queues samples again whose engine is no longer reported.
void
RequeueSamplesOfLostEngines(ShardState& aState,
                            std::vector<ShardEffect>& aEffects);

/// Starts queued samples on engines with free slots; samples that already have
/// tokens go first.
void
StartQueuedSamples(ShardState& aState,
                   core::Instant aNow,
                   std::vector<ShardEffect>& aEffects);

} // namespace heatherdeal::rollout
