#pragma once

#include <functional>
#include <memory>

#include "boost/asio/awaitable.hpp"

#include "batches/batchrun.h"
#include "http/client.h"
#include "kernel/context.h"
#include "routing/pool.h"

namespace heatherdeal::batches {

/// One run of an item on an engine.
struct ItemRunTask
{
  http::Request m_request;
  std::string m_batchId;
  std::string m_itemId;
  std::shared_ptr<routing::UpstreamReservation> m_ticket;
  /// Event behind which the text goes on; 0: from the start.
  uint64_t m_resumeAfter = 0;
  core::WeightVersion m_oldest;
  uint32_t m_expectedTokens = 0;
  core::Instant m_startedAt{};
  core::Instant m_deadline{};
  std::shared_ptr<http::CallAbort> m_abort;
  /// Takes what the run has brought since the last time, on the loop.
  std::function<void(RunReport)> m_progress;
};

/// Generates until the stream ends or breaks. Runs on the loop of aClient.
boost::asio::awaitable<RunReport>
RunItem(http::Client& aClient, ItemRunTask aTask);

} // namespace heatherdeal::batches
