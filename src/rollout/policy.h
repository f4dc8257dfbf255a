#pragma once

#include <cstdint>
#include <variant>

#include "core/instant.h"

namespace heatherdeal::rollout {

/// Batches hold groups in order and wait for the slowest.
struct WaitForAll
{};

/// Batches hold whichever groups are whole; more groups are begun than a
/// batch needs.
struct OutOfOrder
{
  uint32_t m_extraGroups = 2;
};

/// As OutOfOrder; and once a pull waits for at most m_lateGroups groups,
/// their samples move to engines that are less loaded by m_loadGapPercent.
struct MigrateLate
{
  uint32_t m_extraGroups = 2;
  uint32_t m_lateGroups = 2;
  uint32_t m_loadGapPercent = 30;
};

using StragglerPolicy = std::variant<WaitForAll, OutOfOrder, MigrateLate>;

/// Begins groups for so many batches ahead of the trainer; more would be
/// too old when their turn comes.
struct StalenessAdmission
{
  double m_batchesAhead = 2.0;
};

/// Begins groups as long as engines have room.
struct UnlimitedAdmission
{};

/// Begins a batch when the one before is held and its weights are loaded.
struct SynchronousAdmission
{};

using AdmissionPolicy =
  std::variant<StalenessAdmission, UnlimitedAdmission, SynchronousAdmission>;

/// A batch waits for groups in work that the trainer's next step would make
/// too old; long samples are not lost, and the trainer may wait.
struct HoldBatch
{};

/// Samples that have become too old are made again; the trainer goes on, and
/// a sample longer than the bound allows never ends.
struct MakeAgain
{};

using AgePolicy = std::variant<HoldBatch, MakeAgain>;

/// How one shard is generated. Durations are settings.
struct ShardPolicy
{
  uint32_t m_groupsPerBatch = 8;
  uint32_t m_samplesPerGroup = 4;
  uint64_t m_stalenessBound = 2;
  uint32_t m_maxTokens = 4096;
  StragglerPolicy m_straggler = OutOfOrder{};
  AdmissionPolicy m_admission = StalenessAdmission{};
  AgePolicy m_age = HoldBatch{};
  /// How long new samples wait for engines to load newly published weights.
  core::Duration m_freshWait = std::chrono::seconds(10);
  core::Duration m_progressTime = std::chrono::seconds(10);
  core::Duration m_suspectTime = std::chrono::seconds(1);
  core::Duration m_scoringTime = std::chrono::seconds(10);
  core::Duration m_scoringRetryTime = std::chrono::milliseconds(200);
  /// A sample that broke so many streams without a token is given up.
  uint32_t m_crashLimit = 3;
};

} // namespace heatherdeal::rollout
