#pragma once

#include <cstdint>
#include <variant>

#include "core/instant.h"

namespace heatherdeal::rollout {

/// Delivers groups in order, so that a batch waits for its slowest group.
struct WaitForAll
{};

/// Delivers whichever groups are complete. More groups are started than a batch
/// needs.
struct OutOfOrder
{
  uint32_t m_extraGroups = 2;
};

/// Delivers like OutOfOrder. In addition, once a pull waits for at most
/// m_maxMissingGroups groups, migrates their samples to engines whose load is
/// lower by at least m_loadGapPercent percentage points.
struct MigrateLate
{
  uint32_t m_extraGroups = 2;
  uint32_t m_maxMissingGroups = 2;
  uint32_t m_loadGapPercent = 30;
};

using StragglerPolicy = std::variant<WaitForAll, OutOfOrder, MigrateLate>;

/// Limits the groups in progress to m_batchesAhead batches, because groups
/// started earlier would exceed the staleness bound before their delivery.
struct StalenessAdmission
{
  double m_batchesAhead = 2.0;
};

/// Starts groups whenever engines have free slots.
struct UnlimitedAdmission
{};

/// Starts a batch once the trainer holds the previous one and engines have
/// loaded the newest weights.
struct SynchronousAdmission
{};

using AdmissionPolicy =
  std::variant<StalenessAdmission, UnlimitedAdmission, SynchronousAdmission>;

/// Delays a batch until the groups in progress that the trainer's next step
/// would make too old are complete. Long samples are kept, but the trainer may
/// wait.
struct HoldBatch
{};

/// Regenerates samples that exceed the staleness bound. The trainer never waits
/// for them, but a sample that takes longer than the bound allows never
/// completes.
struct RegenerateSamples
{};

using StalenessPolicy = std::variant<HoldBatch, RegenerateSamples>;

/// Configures the generation, scoring and delivery of one shard.
struct ShardPolicy
{
  uint32_t m_groupsPerBatch = 8;
  uint32_t m_samplesPerGroup = 4;
  uint64_t m_stalenessBound = 2;
  uint32_t m_maxTokens = 4096;
  StragglerPolicy m_stragglerPolicy = OutOfOrder{};
  AdmissionPolicy m_admissionPolicy = StalenessAdmission{};
  StalenessPolicy m_stalenessPolicy = HoldBatch{};
  /// How long new samples wait for engines to load newly published weights.
  core::Duration m_newestWeightsTimeout = std::chrono::seconds(10);
  /// How long a stream may deliver no tokens before it is cancelled.
  core::Duration m_progressTimeout = std::chrono::seconds(10);
  /// How long an engine is skipped after its first failure; doubles with each
  /// consecutive failure.
  core::Duration m_initialEngineBackoff = std::chrono::seconds(1);
  /// Timeout of one scoring request.
  core::Duration m_scoringTimeout = std::chrono::seconds(10);
  /// Delay between a failed scoring request and the next attempt.
  core::Duration m_scoringRetryDelay = std::chrono::milliseconds(200);
  /// A group is abandoned once one of its samples has broken this many streams
  /// in a row without producing a token.
  uint32_t m_crashLimit = 3;
};

} // namespace heatherdeal::rollout
