#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include "boost/asio/awaitable.hpp"

#include "http/client.h"
#include "rollout/internal/signals.h"

namespace heatherdeal::rollout {

/// Tells the control thread; any thread may call.
using SignalSink = std::function<void(ShardInput)>;

/// One stream to an engine.
struct GenerateCall
{
  StartStream m_start;
  core::Endpoint m_peer;
  std::string m_prompt;
  /// Text of the tokens already held.
  std::string m_resumeText;
  uint64_t m_seed = 0;
  core::Duration m_progressTime{};
  std::shared_ptr<std::atomic<bool>> m_cancelled;
};

/// Reads the stream and signals its tokens and its end or failure.
boost::asio::awaitable<void>
Generate(http::Client& aClient, GenerateCall aCall, SignalSink aSink);

/// One call to a scorer.
struct ScoreCall
{
  ScoreGroup m_score;
  core::Endpoint m_peer;
  std::string m_prompt;
  std::vector<std::string> m_texts;
};

/// Signals the scores or the failure.
boost::asio::awaitable<void>
Score(http::Client& aClient, ScoreCall aCall, SignalSink aSink);

} // namespace heatherdeal::rollout
