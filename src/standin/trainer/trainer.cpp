#include "standin/trainer/trainer.h"

#include "boost/asio/redirect_error.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/json/serialize.hpp"

#include "kernel/json.h"
#include "kernel/log.h"
#include "kernel/sleep.h"
#include "standin/trainer/batchjson.h"

namespace heatherdeal::standin {

namespace {

namespace asio = boost::asio;

constexpr size_t kLoopIndex = 0;
constexpr uint32_t kOk = 200;
constexpr uint32_t kMisdirected = 421;
constexpr uint32_t kConflict = 409;
constexpr int64_t kPullWaitMilliseconds = 2000;
constexpr core::Duration kPullTime = std::chrono::seconds(4);
constexpr core::Duration kStoreTime = std::chrono::seconds(1);
constexpr core::Duration kPause = std::chrono::milliseconds(50);

} // namespace

Trainer::Trainer(kernel::Context& aContext, TrainerSettings aSettings)
  : m_context(aContext)
  , m_settings(std::move(aSettings))
  , m_locator(aContext.Get<http::Clients>()->ForLoop(kLoopIndex),
              m_settings.m_entries,
              "rollout",
              m_settings.m_failureDomain)
{
  m_cursor.m_version.m_number = 1;
}

asio::awaitable<void>
Trainer::Run()
{
  m_startedAt = kernel::Now();
  co_await Publish();
  while (m_cursor.m_done.m_low < m_settings.m_groups) {
    const bool taken = co_await PullOnce();
    if (taken) {
      co_await Train();
    } else {
      co_await kernel::SleepUntil(kernel::Now() + kPause);
    }
  }
  const std::scoped_lock lock(m_mutex);
  m_done = true;
}

http::Request
Trainer::PullMessage() const
{
  boost::json::array above;
  for (const core::GroupOrdinal ordinal : m_cursor.m_done.m_above) {
    above.emplace_back(ordinal);
  }
  const boost::json::value body{ { "job", m_settings.m_job },
                                 { "shard", 0 },
                                 { "incarnation", m_cursor.m_incarnation },
                                 { "number", m_cursor.m_number },
                                 { "epoch", m_cursor.m_epoch },
                                 { "version", m_cursor.m_version.m_number },
                                 { "done_low", m_cursor.m_done.m_low },
                                 { "done_above", std::move(above) },
                                 { "wait_ms", kPullWaitMilliseconds } };
  http::Request request;
  request.m_method = "POST";
  request.m_target = "/v1/pull";
  request.m_body = boost::json::serialize(body);
  return request;
}

asio::awaitable<bool>
Trainer::PullOnce()
{
  core::Endpoint peer;
  if (m_owner) {
    peer = *m_owner;
  } else {
    peer = co_await m_locator.Find();
  }
  m_pulls += 1;
  http::Client& client = m_context.Get<http::Clients>()->ForLoop(kLoopIndex);
  const absl::StatusOr<http::Response> answer = co_await client.Call(
    peer, PullMessage(), http::Reuse::Allowed, kernel::Now() + kPullTime);
  if (!answer.ok()) {
    m_owner.reset();
    m_locator.Reject();
    co_return false;
  }
  if (answer->m_head.m_status != kOk) {
    Refused(*answer);
    co_return false;
  }
  m_owner = peer;
  const uint64_t before = m_cursor.m_number;
  TakeBatch(answer->m_body);
  co_return m_cursor.m_number > before;
}

void
Trainer::Refused(const http::Response& aAnswer)
{
  m_owner.reset();
  const auto refusal = kernel::ParseJson(aAnswer.m_body, "refusal");
  if (!refusal.ok() || !refusal->is_object()) {
    return;
  }
  const boost::json::object& fields = refusal->get_object();
  if (aAnswer.m_head.m_status == kMisdirected) {
    m_owner = ParseOwner(fields);
    if (!m_owner) {
      m_locator.Reject();
    }
  }
  const boost::json::value* seen = fields.if_contains("seen_incarnation");
  if (aAnswer.m_head.m_status == kConflict && seen != nullptr) {
    m_cursor.m_incarnation = seen->to_number<uint64_t>() + 1;
  }
}

void
Trainer::TakeBatch(std::string_view aBody)
{
  const absl::StatusOr<ReceivedBatch> batch = ParseBatch(aBody);
  if (!batch.ok()) {
    m_rejected += 1;
    return;
  }
  const std::scoped_lock lock(m_mutex);
  const delivery::BatchRequirements requirements{
    m_settings.m_expectation.m_stalenessBound,
    m_settings.m_expectation.m_samplesPerGroup
  };
  const auto rejection = delivery::Take(m_cursor, HeadOf(*batch), requirements);
  if (rejection) {
    m_rejected += 1;
    return;
  }
  Expectation expectation = m_settings.m_expectation;
  expectation.m_trainerVersion = m_cursor.m_version.m_number;
  for (const core::Group& group : batch->m_batch.m_groups) {
    NoteGroup(m_ledger, group, expectation);
  }
  m_lastBatchAt = kernel::Now();
  if (m_cursor.m_number == 1) {
    m_firstBatchAt = m_lastBatchAt;
  }
}

asio::awaitable<void>
Trainer::Train()
{
  co_await kernel::SleepUntil(kernel::Now() + m_settings.m_trainTime);
  m_trained += m_settings.m_trainTime;
  if (m_cursor.m_number % m_settings.m_batchesPerVersion == 0) {
    m_cursor.m_version.m_number += 1;
    co_await Publish();
  }
}

asio::awaitable<void>
Trainer::Publish()
{
  http::Client& client = m_context.Get<http::Clients>()->ForLoop(kLoopIndex);
  const std::string target = "/objects/weights/" + m_settings.m_weights;
  http::Request read;
  read.m_target = target;
  const core::Endpoint store = m_settings.m_store.front();
  const absl::StatusOr<http::Response> current = co_await client.Call(
    store, std::move(read), http::Reuse::Allowed, kernel::Now() + kStoreTime);
  if (!current.ok()) {
    co_return;
  }
  uint64_t version = 0;
  const auto object = kernel::ParseJson(current->m_body, "object");
  if (current->m_head.m_status == kOk && object.ok()) {
    version = object->at("version").to_number<uint64_t>();
  }
  const boost::json::value weights{ { "version",
                                      m_cursor.m_version.m_number } };
  const boost::json::value body{ { "if_version", version },
                                 { "token", "trainer" },
                                 { "value", boost::json::serialize(weights) } };
  http::Request write;
  write.m_method = "PUT";
  write.m_target = target;
  write.m_body = boost::json::serialize(body);
  (void)co_await client.Call(
    store, std::move(write), http::Reuse::Allowed, kernel::Now() + kStoreTime);
}

asio::awaitable<void>
Trainer::Seen(http::Exchange& aExchange)
{
  http::Response answer;
  {
    const std::scoped_lock lock(m_mutex);
    const core::Duration span = m_lastBatchAt - m_firstBatchAt;
    const core::Duration busy = m_trained - m_settings.m_trainTime;
    const double idle =
      span.count() <= 0
        ? 1.0
        : 1.0 - static_cast<double>(std::min(busy, span).count()) /
                  static_cast<double>(span.count());
    boost::json::object tokens;
    for (const auto& [version, count] : m_ledger.m_tokensByVersion) {
      tokens[std::to_string(version)] = count;
    }
    answer.m_body = boost::json::serialize(boost::json::value{
      { "done", m_done },
      { "batches", m_cursor.m_number },
      { "groups_held_to", m_cursor.m_done.m_low },
      { "groups_wanted", m_settings.m_groups },
      { "version", m_cursor.m_version.m_number },
      { "samples", m_ledger.m_samples },
      { "duplicates", Duplicates(m_ledger) },
      { "missing",
        Missing(m_ledger,
                m_settings.m_groups,
                m_settings.m_expectation.m_samplesPerGroup) },
      { "incomplete_groups", m_ledger.m_incompleteGroups },
      { "wrong_texts", m_ledger.m_wrongTexts },
      { "wrong_spans", m_ledger.m_wrongSpans },
      { "too_old", m_ledger.m_tooOld },
      { "staleness_sum", m_ledger.m_stalenessSum },
      { "staleness_max", m_ledger.m_stalenessMax },
      { "idle_share", idle },
      { "rejected_batches", m_rejected },
      { "pulls", m_pulls },
      { "tokens_by_version", std::move(tokens) } });
  }
  co_await aExchange.RespondIgnoringErrors(std::move(answer));
}

} // namespace heatherdeal::standin
