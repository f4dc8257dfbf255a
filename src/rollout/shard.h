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

/// Describes how far the generation of a sample has advanced.
enum class SampleStage : uint8_t
{
  Queued,
  Running,
  Finished,
};

/// Holds the generation state of one sample.
struct SampleProgress
{
  SampleStage m_stage = SampleStage::Queued;
  /// Identifies the current stream among all streams of the sample.
  uint32_t m_attempt = 0;
  core::UpstreamId m_engine;
  /// The software that generated the tokens. Only engines that run it can
  /// resume the sample.
  core::Software m_software;
  /// Number of tokens received so far.
  uint32_t m_tokens = 0;
  /// The weights that each range of tokens was generated with.
  std::vector<core::VersionSpan> m_spans;
  /// When the stream is cancelled unless more tokens arrive.
  core::Instant m_progressDeadline{};
  /// Number of streams that broke since the last token arrived.
  uint32_t m_consecutiveCrashes = 0;
  /// True if the engine should run the sample before other training work.
  bool m_urgent = false;
  /// True if the sample has been migrated; a sample migrates at most once
  /// between restarts.
  bool m_migrated = false;
};

/// Describes how far a group has advanced from generation to delivery.
enum class GroupStage : uint8_t
{
  Generating,
  Scoring,
  Ready,
  Abandoned,
};

/// Holds the state of one group.
struct GroupProgress
{
  GroupStage m_stage = GroupStage::Generating;
  std::vector<SampleProgress> m_samples;
  /// Identifies the current scoring request among all those of the group.
  uint32_t m_scoringAttempt = 0;
  /// Deadline of the scoring request in flight, or start time of the next
  /// attempt if none is in flight.
  core::Instant m_scoringDeadline{};
  bool m_scoringInFlight = false;
};

/// Describes an engine according to the host list and its own status reports.
struct EngineReport
{
  core::UpstreamId m_engine;
  /// Maximum number of concurrent streams of this shard.
  uint32_t m_slots = 0;
  core::WeightVersion m_version;
  /// True if the engine is shutting down and must get no new streams.
  bool m_leaving = false;
  core::Software m_software;
};

/// Holds what the shard knows of an engine.
struct EngineState
{
  EngineReport m_report;
  /// Number of streams of this shard that are in flight on the engine.
  uint32_t m_runningStreams = 0;
  /// Number of failures since the last token from the engine.
  uint32_t m_consecutiveFailures = 0;
  /// The engine gets no new streams before this time.
  core::Instant m_suspectUntil{};
};

/// Counts the work of the shard for metrics and benchmarks.
struct ShardTotals
{
  uint64_t m_tokens = 0;
  /// Tokens that were received and discarded later.
  uint64_t m_wastedTokens = 0;
  /// Streams that resumed a sample after its first tokens.
  uint64_t m_resumes = 0;
  uint64_t m_migrations = 0;
  /// Chunks of tokens that were discarded because they named no version.
  uint64_t m_unversionedChunks = 0;
  /// Samples that were restarted because they exceeded the staleness bound.
  uint64_t m_staleSamples = 0;
  /// Events of streams or scoring requests that were no longer current.
  uint64_t m_outdatedEvents = 0;
  uint64_t m_scoringFailures = 0;
  /// Groups that were abandoned.
  uint64_t m_abandonedGroups = 0;
};

/// Holds the state of generation, scoring and delivery of a shard at its owner.
struct ShardState
{
  ShardPolicy m_policy;
  delivery::DeliveryState m_delivery;
  std::map<core::GroupOrdinal, GroupProgress> m_groups;
  std::map<core::UpstreamId, EngineState> m_engines;
  /// Before this time, new samples start only on engines with the newest
  /// weights.
  core::Instant m_requireNewestUntil{};
  /// True once no new groups may be started.
  bool m_draining = false;
  ShardTotals m_totals;
};

/// Replaces the list of available engines.
struct EnginesReported
{
  std::vector<EngineReport> m_engines;
};

/// Reports that tokens [m_offset, m_offset + m_tokens) of a sample have
/// arrived.
struct TokensArrived
{
  core::SampleId m_sample;
  uint32_t m_attempt = 0;
  uint32_t m_offset = 0;
  uint32_t m_tokens = 0;
  /// The weights that generated the tokens; empty if the stream did not name
  /// them.
  std::optional<core::WeightVersion> m_version;
};

/// Reports that a stream has ended with its end marker.
struct StreamEnded
{
  core::SampleId m_sample;
  uint32_t m_attempt = 0;
  uint32_t m_totalTokens = 0;
};

/// Reports that a stream broke or was refused.
struct StreamFailed
{
  core::SampleId m_sample;
  uint32_t m_attempt = 0;
  core::Failure m_failure;
};

/// Reports a response from a scorer.
struct GroupScored
{
  core::GroupOrdinal m_group = 0;
  uint32_t m_attempt = 0;
  /// Number of scores in the response.
  uint32_t m_scoreCount = 0;
};

/// Reports that a scoring request failed.
struct ScoringFailed
{
  core::GroupOrdinal m_group = 0;
  uint32_t m_attempt = 0;
  core::Failure m_failure;
};

/// Reports that the time returned by NextDeadline has been reached.
struct TimerExpired
{};

/// Starts the drain: groups in progress are completed, no new ones start.
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

/// Requests that a sample is started or resumed on an engine.
struct StartStream
{
  core::SampleId m_sample;
  uint32_t m_attempt = 0;
  core::UpstreamId m_engine;
  /// Number of tokens already received; the engine continues after them.
  uint32_t m_resumeFrom = 0;
  uint32_t m_maxTokens = 0;
  bool m_urgent = false;
};

/// Requests that a stream is cancelled.
struct CancelStream
{
  core::SampleId m_sample;
  uint32_t m_attempt = 0;
};

/// Requests that the text received for a sample is freed.
struct DropSample
{
  core::SampleId m_sample;
};

/// Requests that the samples of a group are scored.
struct ScoreGroup
{
  core::GroupOrdinal m_group = 0;
  uint32_t m_attempt = 0;
  core::Instant m_deadline;
};

/// Requests that all payload of a group is freed.
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

/// Returns the initial state of a shard that is owned under the given epoch.
ShardState
MakeShardState(const ShardPolicy& aPolicy,
               const core::ShardId& aShard,
               uint64_t aEpoch);

/// Tells whether the caller must query NextDeadline again.
enum class DeadlineUpdate : uint8_t
{
  /// No deadline is earlier than before.
  NotNeeded,
  /// A deadline may be earlier than before.
  Needed,
};

/// Applies an event to the state and appends the resulting effects to
/// aEffects.
DeadlineUpdate
Apply(ShardState& aState,
      const ShardEvent& aEvent,
      core::Instant aNow,
      std::vector<ShardEffect>& aEffects);

/// Returns when the next TimerExpired is due, or nothing if no timer is needed.
std::optional<core::Instant>
NextDeadline(const ShardState& aState, core::Instant aNow);

/// Returns true while the shard has groups that a drain must complete or hand
/// over.
bool
HasUnfinishedGroups(const ShardState& aState);

} // namespace heatherdeal::rollout
