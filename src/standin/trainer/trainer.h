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
  std::vector<core::Endpoint> m_entries;
  std::vector<core::Endpoint> m_store;
  std::string m_failureDomain;
  std::string m_job;
  std::string m_weights;
  /// The trainer is done when it holds each of the first groups.
  uint64_t m_groups = 40;
  uint32_t m_batchesPerVersion = 1;
  core::Duration m_trainTime = std::chrono::milliseconds(300);
  Expectation m_expectation;
};

/// Stand-in for a trainer: pulls batches, trains, publishes weights.
class Trainer : public std::enable_shared_from_this<Trainer>
{
public:
  Trainer(kernel::Context& aContext, TrainerSettings aSettings);

  boost::asio::awaitable<void> Run();
  /// Serves GET /seen.
  boost::asio::awaitable<void> Seen(http::Exchange& aExchange);

private:
  boost::asio::awaitable<bool> PullOnce();
  boost::asio::awaitable<void> Train();
  boost::asio::awaitable<void> Publish();
  http::Request PullMessage() const;
  void TakeBatch(std::string_view aBody);
  void Refused(const http::Response& aAnswer);

  kernel::Context& m_context;
  TrainerSettings m_settings;
  Locator m_locator;
  std::optional<core::Endpoint> m_owner;
  std::mutex m_mutex;
  delivery::Cursor m_cursor;
  Ledger m_ledger;
  uint64_t m_rejected = 0;
  uint64_t m_pulls = 0;
  bool m_done = false;
  core::Instant m_startedAt{};
  core::Instant m_firstBatchAt{};
  core::Instant m_lastBatchAt{};
  core::Duration m_trained{};
};

} // namespace heatherdeal::standin
