#pragma once

#include <mutex>

#include "delivery/trainercursor.h"
#include "http/exchange.h"
#include "kernel/context.h"
#include "standin/locator.h"
#include "standin/trainer/ledger.h"

namespace heatherdeal::standin {

struct TrainerSettings
{
  bool m_enabled = false;
  std::vector<core::Endpoint> m_entryHosts;
  std::vector<core::Endpoint> m_storeEndpoints;
  std::string m_failureDomain;
  std::string m_job;
  std::string m_weightsName;
  /// The trainer is done when it holds this many groups, from the first on.
  uint64_t m_wantedGroups = 40;
  uint32_t m_batchesPerVersion = 1;
  core::Duration m_trainTime = std::chrono::milliseconds(300);
  Expectation m_expectation;
};

/// Stand-in for a trainer: it pulls batches, trains and publishes weights.
class Trainer : public std::enable_shared_from_this<Trainer>
{
public:
  Trainer(kernel::Context& aContext, TrainerSettings aSettings);

  /// Pulls and trains until the trainer holds all wanted groups.
  boost::asio::awaitable<void> PullUntilDone();
  /// Serves GET /seen.
  boost::asio::awaitable<void> HandleSeen(http::Exchange& aExchange);

private:
  /// Returns true if a batch was accepted.
  boost::asio::awaitable<bool> PullBatch();
  boost::asio::awaitable<void> TrainOnBatch();
  /// Writes the current weight version to the object API.
  boost::asio::awaitable<void> PublishWeights();
  http::Request MakePullRequest() const;
  /// Accepts the batch if the cursor allows it, and records its groups.
  void AcceptBatch(std::string_view aBody);
  /// Uses the owner that the refusal names, if any, for the next pull, and
  /// moves to a higher incarnation if the cursor is stale.
  void HandleRefusal(const http::Response& aResponse);

  kernel::Context& m_context;
  TrainerSettings m_settings;
  Locator m_locator;
  std::optional<core::Endpoint> m_owner;
  std::mutex m_mutex;
  delivery::Cursor m_cursor;
  Ledger m_ledger;
  uint64_t m_rejectedBatches = 0;
  uint64_t m_pullCount = 0;
  bool m_finished = false;
  core::Instant m_startedAt{};
  core::Instant m_firstBatchAt{};
  core::Instant m_lastBatchAt{};
  core::Duration m_trainedTime{};
};

} // namespace heatherdeal::standin
