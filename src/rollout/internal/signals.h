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

/// The text that came with a TokensArrived.
struct TextArrived
{
  TokensArrived m_event;
  std::string m_text;
};

/// The scores that came with a GroupScored.
struct ScoresArrived
{
  GroupScored m_event;
  std::vector<double> m_scores;
};

/// A whole batch, or why there is none.
struct BatchAnswer
{
  core::Batch m_batch;
  std::vector<core::GroupOrdinal> m_abandoned;
};

using PullAnswer = std::variant<BatchAnswer, core::Failure>;
using PullReply = kernel::AwaitableValue<PullAnswer>;

/// A trainer's pull and the way to answer it.
struct PullRequest
{
  delivery::Cursor m_cursor;
  core::Instant m_deadline{};
  std::shared_ptr<PullReply> m_reply;
};

using ShardInput = std::variant<TextArrived,
                                StreamEnded,
                                StreamFailed,
                                ScoresArrived,
                                ScoringFailed,
                                PullRequest>;

/// What a traffic thread has to tell the owner of a shard. Inputs of an
/// earlier ownership are dropped.
struct ShardSignal
{
  core::ShardId m_shard;
  /// 0 for pulls, which belong to no ownership.
  uint64_t m_epoch = 0;
  ShardInput m_input;
};

} // namespace heatherdeal::rollout
