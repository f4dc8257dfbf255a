#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include "boost/asio/awaitable.hpp"

#include "http/client.h"
#include "rollout/internal/shardmessages.h"

namespace heatherdeal::rollout {

/// Passes an input to the shard owner on the control thread. Safe to call from
/// any thread.
using ShardInputSink = std::function<void(ShardInput)>;

/// Holds the parameters of one generation stream from an engine.
struct GenerateCall
{
  StartStream m_startStream;
  core::Endpoint m_peer;
  std::string m_prompt;
  /// The text of the tokens received so far, from which the engine resumes.
  std::string m_resumeText;
  uint64_t m_seed = 0;
  core::Duration m_progressTimeout{};
  /// Set to true by the control thread to end the stream.
  std::shared_ptr<std::atomic<bool>> m_cancelled;
};

/// Requests a stream from an engine and passes its tokens and its end or
/// failure to aSink.
boost::asio::awaitable<void>
StreamSample(http::Client& aClient, GenerateCall aCall, ShardInputSink aSink);

/// Holds the parameters of one request to a scorer.
struct ScoreCall
{
  ScoreGroup m_scoreGroup;
  core::Endpoint m_peer;
  std::string m_prompt;
  std::vector<std::string> m_texts;
};

/// Requests scores for the samples of a group and passes the scores or the
/// failure to aSink.
boost::asio::awaitable<void>
RequestScores(http::Client& aClient, ScoreCall aCall, ShardInputSink aSink);

} // namespace heatherdeal::rollout
