#pragma once

#include "rollout/shard.h"

namespace heatherdeal::rollout {

/// Share of the engine's slots in use, in percent.
uint32_t
LoadPercent(const EngineView& aEngine);

/// What a stream asks of its engine.
enum class Freshness : uint8_t
{
  /// The newest weights, as long as they are waited for.
  Newest,
  /// Weights within the staleness bound.
  WithinBound,
};

/// The engine to begin or resume a stream on: newest weights first, then
/// least loaded. Null if none has room.
EngineView*
ChooseEngine(ShardState& aState, Freshness aFreshness, core::Instant aNow);

/// Counts a failure against the engine and leaves it out for a while.
void
Suspect(ShardState& aState, EngineView& aEngine, core::Instant aNow);

/// Takes over a report; engines no longer reported are removed.
void
Merge(ShardState& aState, const EnginesReported& aReported);

} // namespace heatherdeal::rollout
