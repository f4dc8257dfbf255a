#pragma once

#include "rollout/shard.h"

namespace heatherdeal::rollout {

/// Returns the share of the engine's slots that are in use, in percent.
uint32_t
ComputeLoadPercent(const EngineState& aEngine);

/// Selects which weights an engine must have loaded to run a stream.
enum class RequiredWeights : uint8_t
{
  /// The newest weights until ShardState::m_requireNewestUntil, then
  /// WithinBound.
  Newest,
  /// Any weights within the staleness bound.
  WithinBound,
};

/// Returns the engine on which to start or resume the sample, or null if no
/// engine can accept it: one that has tokens needs an engine of the software
/// that generated them. Prefers the newest weights, then the lowest load.
EngineState*
ChooseEngine(ShardState& aState,
             const SampleProgress& aSample,
             RequiredWeights aRequiredWeights,
             core::Instant aNow);

/// True if an engine that stays runs the software that generated the tokens of
/// the sample.
bool
IsSoftwareServed(const ShardState& aState, const SampleProgress& aSample);

/// Counts a failure of the engine and backs off from it exponentially.
void
BackOffFromEngine(ShardState& aState, EngineState& aEngine, core::Instant aNow);

/// Updates the engines from a report and removes engines that are missing from
/// it.
void
MergeEngineReport(ShardState& aState, const EnginesReported& aReported);

} // namespace heatherdeal::rollout
