#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/failure.h"
#include "core/ids.h"
#include "core/instant.h"
#include "core/weightversion.h"
#include "delivery/deliverywindow.h"
#include "rollout/policy.h"

namespace heatherdeal::rollout {

enum class SampleStage : uint8_t
{
  Queued,
  Running,
  Finished,
};

struct SampleProgress
{
  SampleStage m_stage = SampleStage::Queued;
  /// Distinguishes this stream from earlier ones of the same sample.
  uint32_t m_attempt = 0;
  core::UpstreamId m_engine;
  uint32_t m_tokens = 0;
  std::vector<core::VersionSpan> m_spans;
  core::Instant m_progressDeadline{};
  /// Broken streams since the last token.
  uint32_t m_crashes = 0;
  /// Ask the engine to run it before other training work.
  bool m_urgent = false;
  bool m_migrated = false;
};

enum class GroupStage : uint8_t
{
  Generating,
  Scoring,
  Ready,
  Abandoned,
};

struct GroupProgress
{
  GroupStage m_stage = GroupStage::Generating;
  std::vector<SampleProgress> m_samples;
  uint32_t m_scoringAttempt = 0;
  /// End of the running scoring call, or start of the next one.
  core::Instant m_scoringDeadline{};
  bool m_scoringRuns = false;
};

/// An engine as the host list and its own reports show it.
struct EngineReport
{
  core::UpstreamId m_engine;
  /// Streams of this shard that it may run at once.
  uint32_t m_slots = 0;
  core::WeightVersion m_version;
  bool m_leaving = false;
};

struct EngineView
{
  EngineReport m_report;
  uint32_t m_running = 0;
  uint32_t m_failures = 0;
  core::Instant m_suspectUntil{};
};

/// What the shard has done, for counters and benchmarks.
struct ShardTotals
{
  uint64_t m_tokens = 0;
  uint64_t m_wastedTokens = 0;
  uint64_t m_resumes = 0;
  uint64_t m_migrations = 0;
  uint64_t m_unnamed = 0;
  uint64_t m_tooOld = 0;
  uint64_t m_lateEvents = 0;
  uint64_t m_scoringFailures = 0;
  uint64_t m_abandoned = 0;
};

/// One shard at its owner: generation, scoring and delivery.
struct ShardState
{
  ShardPolicy m_policy;
  delivery::DeliveryState m_delivery;
  std::map<core::GroupOrdinal, GroupProgress> m_groups;
  std::map<core::UpstreamId, EngineView> m_engines;
  /// Until then new samples begin only on engines with the newest weights.
  core::Instant m_freshUntil{};
  bool m_draining = false;
  ShardTotals m_totals;
};

/// Replaces what is known of the engines.
struct EnginesReported
{
  std::vector<EngineReport> m_engines;
};

/// Tokens [m_offset, m_offset + m_tokens) of a sample have arrived.
struct TokensArrived
{
  core::SampleId m_sample;
  uint32_t m_attempt = 0;
  uint32_t m_offset = 0;
  uint32_t m_tokens = 0;
  /// Nothing if the stream did not name it.
  std::optional<core::WeightVersion> m_version;
};

/// The stream has ended with its end mark.
struct StreamEnded
{
  core::SampleId m_sample;
  uint32_t m_attempt = 0;
  uint32_t m_totalTokens = 0;
};

struct StreamFailed
{
  core::SampleId m_sample;
  uint32_t m_attempt = 0;
  core::Failure m_failure;
};

struct GroupScored
{
  core::GroupOrdinal m_group = 0;
  uint32_t m_attempt = 0;
  uint32_t m_scores = 0;
};

struct ScoringFailed
{
  core::GroupOrdinal m_group = 0;
  uint32_t m_attempt = 0;
  core::Failure m_failure;
};

struct TimerExpired
{};

/// Finish what was begun; begin nothing new.
struct DrainStarted
{};

using ShardEvent = std::variant<EnginesReported,
                                TokensArrived,
                                StreamEnded,
                                StreamFailed,
                                GroupScored,
                                ScoringFailed,
                                TimerExpired,
                                DrainStarted,
                                delivery::PullArrived,
                                delivery::NewestVersionSeen,
                                delivery::OwnershipEnded>;

/// Begin or resume a sample on an engine.
struct StartStream
{
  core::SampleId m_sample;
  uint32_t m_attempt = 0;
  core::UpstreamId m_engine;
  /// Tokens already held; the engine goes on behind them.
  uint32_t m_resumeFrom = 0;
  uint32_t m_maxTokens = 0;
  bool m_urgent = false;
};

struct CancelStream
{
  core::SampleId m_sample;
  uint32_t m_attempt = 0;
};

/// Forget the tokens held of a sample.
struct DropSample
{
  core::SampleId m_sample;
};

struct ScoreGroup
{
  core::GroupOrdinal m_group = 0;
  uint32_t m_attempt = 0;
  core::Instant m_deadline;
};

/// Forget everything held of a group.
struct DropGroup
{
  core::GroupOrdinal m_group = 0;
};

using ShardEffect = std::variant<StartStream,
                                 CancelStream,
                                 DropSample,
                                 ScoreGroup,
                                 DropGroup,
                                 delivery::SendBatch,
                                 delivery::RefusePull>;

/// A shard of that policy, owned under that epoch, with nothing begun.
ShardState
MakeShard(const ShardPolicy& aPolicy,
          const core::ShardId& aShard,
          uint64_t aEpoch);

/// Whether NextDeadline has to be asked again.
enum class Deadlines : uint8_t
{
  /// None is earlier than before.
  Kept,
  Changed,
};

Deadlines
Apply(ShardState& aState,
      const ShardEvent& aEvent,
      core::Instant aNow,
      std::vector<ShardEffect>& aEffects);

/// When a TimerExpired is due, after aNow; nothing if none is.
std::optional<core::Instant>
NextDeadline(const ShardState& aState, core::Instant aNow);

/// True while a drain still has something to finish or to hand over.
bool
HasWork(const ShardState& aState);

} // namespace heatherdeal::rollout
