#pragma once

#include <functional>
#include <memory>

#include "boost/asio/awaitable.hpp"

#include "batches/batchrun.h"
#include "http/client.h"
#include "http/processbudget.h"
#include "kernel/context.h"
#include "limits/upstreamlimits.h"
#include "routing/pool.h"

namespace heatherdeal::batches {

/// The parameters of one run of an item on an engine.
struct ItemRunTask
{
  http::Request m_request;
  std::string m_batchId;
  std::string m_itemId;
  /// The customer of the batch; empty if it has none.
  core::CustomerId m_customer;
  /// True if the engine must not learn of a customer or an API key that the
  /// item names.
  bool m_isAnonymous = false;
  /// Reserves a slot of the chosen engine until the run ends.
  std::shared_ptr<routing::UpstreamReservation> m_reservation;
  /// The id of the event after which the text resumes; 0 to generate it from
  /// the beginning.
  uint64_t m_resumeAfter = 0;
  /// The oldest weight version that may generate a token.
  core::WeightVersion m_oldestAllowedVersion;
  uint32_t m_expectedTokens = 0;
  core::Instant m_startedAt{};
  core::Instant m_deadline{};
  std::shared_ptr<http::CallAbort> m_abort;
  std::shared_ptr<limits::UpstreamLimits> m_limits;
  /// The memory that the whole text occupies; null without a budget.
  std::shared_ptr<http::ProcessBudget::Reservation> m_memory;
  /// Size of the text that the run resumes.
  size_t m_resumedBytes = 0;
  /// Called on the traffic loop with the output since the previous call.
  std::function<void(RunReport)> m_onProgress;
};

/// Sends an item to its engine and reads the stream until it ends or fails.
/// Runs on the loop of aClient. The report holds the output since the last
/// progress report.
boost::asio::awaitable<RunReport>
RunItem(http::Client& aClient, ItemRunTask aTask);

} // namespace heatherdeal::batches
