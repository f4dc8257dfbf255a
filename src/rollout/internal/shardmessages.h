#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/failure.h"
#include "core/sample.h"
#include "delivery/deliverywindow.h"
#include "kernel/awaitablevalue.h"
#include "rollout/shard.h"

namespace heatherdeal::rollout {

/// Holds a TokensArrived event and the text of its tokens.
struct TextArrived
{
  TokensArrived m_event;
  std::string m_text;
};

/// Holds a GroupScored event and its scores.
struct ScoresArrived
{
  GroupScored m_event;
  std::vector<double> m_scores;
};

/// Holds a batch with its payload, as sent to the trainer.
struct BatchResponse
{
  core::Batch m_batch;
  /// Groups that could not be generated.
  std::vector<core::GroupOrdinal> m_abandonedGroups;
};

using PullResult = std::variant<BatchResponse, core::Failure>;
using PendingPullResult = kernel::AwaitableValue<PullResult>;

/// Holds a trainer's pull request and the awaitable that receives its result.
struct PullRequest
{
  delivery::Cursor m_cursor;
  core::Instant m_deadline{};
  std::shared_ptr<PendingPullResult> m_pendingResult;
};

using ShardInput = std::variant<TextArrived,
                                StreamEnded,
                                StreamFailed,
                                ScoresArrived,
                                ScoringFailed,
                                PullRequest>;

/// Carries an input from a traffic thread to the owner of a shard. Inputs from
/// an earlier ownership epoch are dropped.
struct ShardMessage
{
  core::ShardId m_shard;
  /// The ownership epoch of the input; 0 for pulls, which belong to no epoch.
  uint64_t m_epoch = 0;
  ShardInput m_input;
};

} // namespace heatherdeal::rollout
