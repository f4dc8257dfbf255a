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
constexpr uint32_t kStatusOk = 200;
constexpr uint32_t kStatusMisdirected = 421;
constexpr uint32_t kStatusConflict = 409;
constexpr int64_t kMaxPullWaitMilliseconds = 2000;
constexpr core::Duration kPullTimeout = std::chrono::seconds(4);
constexpr core::Duration kStoreTimeout = std::chrono::seconds(1);
constexpr core::Duration kRetryDelay = std::chrono::milliseconds(50);

} // namespace

Trainer::Trainer(kernel::Context& aContext, TrainerSettings aSettings)
  : m_context(aContext)
  , m_settings(std::move(aSettings))
  , m_locator(aContext.Get<http::Clients>()->ForLoop(kLoopIndex),
              m_settings.m_entryHosts,
              "rollout",
              m_settings.m_failureDomain)
{
  m_cursor.m_publishedVersion.m_number = 1;
}

asio::awaitable<void>
Trainer::PullUntilDone()
{
  m_startedAt = kernel::Now();
  co_await PublishWeights();
  while (m_cursor.m_done.m_lowWatermark < m_settings.m_wantedGroups) {
    const bool accepted = co_await PullBatch();
    if (accepted) {
      co_await TrainOnBatch();
    } else {
      co_await kernel::SleepUntil(kernel::Now() + kRetryDelay);
    }
  }
  const std::scoped_lock lock(m_mutex);
  m_finished = true;
}

http::Request
Trainer::MakePullRequest() const
{
  boost::json::array doneAbove;
  for (const core::GroupOrdinal ordinal : m_cursor.m_done.m_aboveWatermark) {
    doneAbove.emplace_back(ordinal);
  }
  const boost::json::value body{ { "job", m_settings.m_job },
                                 { "shard", 0 },
                                 { "incarnation", m_cursor.m_incarnation },
                                 { "number", m_cursor.m_lastBatchNumber },
                                 { "epoch", m_cursor.m_epoch },
                                 { "version",
                                   m_cursor.m_publishedVersion.m_number },
                                 { "done_low", m_cursor.m_done.m_lowWatermark },
                                 { "done_above", std::move(doneAbove) },
                                 { "wait_ms", kMaxPullWaitMilliseconds } };
  http::Request request;
  request.m_method = "POST";
  request.m_target = "/v1/pull";
  request.m_body = boost::json::serialize(body);
  return request;
}

asio::awaitable<bool>
Trainer::PullBatch()
{
  core::Endpoint peer;
  if (m_owner) {
    peer = *m_owner;
  } else {
    peer = co_await m_locator.FindEndpoint();
  }
  m_pullCount += 1;
  http::Client& client = m_context.Get<http::Clients>()->ForLoop(kLoopIndex);
  const absl::StatusOr<http::Response> response =
    co_await client.Call(peer,
                         MakePullRequest(),
                         http::Reuse::Allowed,
                         kernel::Now() + kPullTimeout);
  if (!response.ok()) {
    m_owner.reset();
    m_locator.UseNextEndpoint();
    co_return false;
  }
  if (response->m_head.m_status != kStatusOk) {
    HandleRefusal(*response);
    co_return false;
  }
  m_owner = peer;
  const uint64_t previousNumber = m_cursor.m_lastBatchNumber;
  AcceptBatch(response->m_body);
  co_return m_cursor.m_lastBatchNumber > previousNumber;
}

void
Trainer::HandleRefusal(const http::Response& aResponse)
{
  m_owner.reset();
  const auto refusal = kernel::ParseJson(aResponse.m_body, "refusal");
  if (!refusal.ok() || !refusal->is_object()) {
    return;
  }
  const boost::json::object& fields = refusal->get_object();
  if (aResponse.m_head.m_status == kStatusMisdirected) {
    m_owner = ParseOwnerEndpoint(fields);
    if (!m_owner) {
      m_locator.UseNextEndpoint();
    }
  }
  const boost::json::value* seenIncarnation =
    fields.if_contains("seen_incarnation");
  if (aResponse.m_head.m_status == kStatusConflict &&
      seenIncarnation != nullptr) {
    m_cursor.m_incarnation = seenIncarnation->to_number<uint64_t>() + 1;
  }
}

void
Trainer::AcceptBatch(std::string_view aBody)
{
  const absl::StatusOr<ReceivedBatch> batch = ParseBatch(aBody);
  if (!batch.ok()) {
    m_rejectedBatches += 1;
    return;
  }
  const std::scoped_lock lock(m_mutex);
  const delivery::BatchRequirements requirements{
    m_settings.m_expectation.m_stalenessBound,
    m_settings.m_expectation.m_samplesPerGroup
  };
  const auto rejection =
    delivery::AcceptBatch(m_cursor, MakeBatchHead(*batch), requirements);
  if (rejection) {
    m_rejectedBatches += 1;
    return;
  }
  Expectation expectation = m_settings.m_expectation;
  expectation.m_trainerVersion = m_cursor.m_publishedVersion.m_number;
  for (const core::Group& group : batch->m_batch.m_groups) {
    RecordGroup(m_ledger, group, expectation);
  }
  m_lastBatchAt = kernel::Now();
  if (m_cursor.m_lastBatchNumber == 1) {
    m_firstBatchAt = m_lastBatchAt;
  }
}

asio::awaitable<void>
Trainer::TrainOnBatch()
{
  co_await kernel::SleepUntil(kernel::Now() + m_settings.m_trainTime);
  m_trainedTime += m_settings.m_trainTime;
  if (m_cursor.m_lastBatchNumber % m_settings.m_batchesPerVersion == 0) {
    m_cursor.m_publishedVersion.m_number += 1;
    co_await PublishWeights();
  }
}

asio::awaitable<void>
Trainer::PublishWeights()
{
  http::Client& client = m_context.Get<http::Clients>()->ForLoop(kLoopIndex);
  const std::string target = "/objects/weights/" + m_settings.m_weightsName;
  http::Request read;
  read.m_target = target;
  const core::Endpoint store = m_settings.m_storeEndpoints.front();
  const absl::StatusOr<http::Response> current =
    co_await client.Call(store,
                         std::move(read),
                         http::Reuse::Allowed,
                         kernel::Now() + kStoreTimeout);
  if (!current.ok()) {
    co_return;
  }
  uint64_t version = 0;
  const auto object = kernel::ParseJson(current->m_body, "object");
  if (current->m_head.m_status == kStatusOk && object.ok()) {
    version = object->at("version").to_number<uint64_t>();
  }
  const boost::json::value weights{ { "version",
                                      m_cursor.m_publishedVersion.m_number } };
  const boost::json::value body{ { "if_version", version },
                                 { "token", "trainer" },
                                 { "value", boost::json::serialize(weights) } };
  http::Request write;
  write.m_method = "PUT";
  write.m_target = target;
  write.m_body = boost::json::serialize(body);
  (void)co_await client.Call(store,
                             std::move(write),
                             http::Reuse::Allowed,
                             kernel::Now() + kStoreTimeout);
}

asio::awaitable<void>
Trainer::HandleSeen(http::Exchange& aExchange)
{
  http::Response response;
  {
    const std::scoped_lock lock(m_mutex);
    const core::Duration batchTime = m_lastBatchAt - m_firstBatchAt;
    const core::Duration trainingTime = m_trainedTime - m_settings.m_trainTime;
    const double idleShare =
      batchTime.count() <= 0
        ? 1.0
        : 1.0 - static_cast<double>(std::min(trainingTime, batchTime).count()) /
                  static_cast<double>(batchTime.count());
    boost::json::object tokens;
    for (const auto& [version, count] : m_ledger.m_tokensByVersion) {
      tokens[std::to_string(version)] = count;
    }
    response.m_body = boost::json::serialize(boost::json::value{
      { "done", m_finished },
      { "batches", m_cursor.m_lastBatchNumber },
      { "groups_held_to", m_cursor.m_done.m_lowWatermark },
      { "groups_wanted", m_settings.m_wantedGroups },
      { "version", m_cursor.m_publishedVersion.m_number },
      { "samples", m_ledger.m_sampleCount },
      { "duplicates", CountDuplicates(m_ledger) },
      { "missing",
        CountMissing(m_ledger,
                     m_settings.m_wantedGroups,
                     m_settings.m_expectation.m_samplesPerGroup) },
      { "incomplete_groups", m_ledger.m_incompleteGroups },
      { "wrong_texts", m_ledger.m_wrongTexts },
      { "wrong_spans", m_ledger.m_wrongSpans },
      { "too_old", m_ledger.m_staleSamples },
      { "staleness_sum", m_ledger.m_stalenessSum },
      { "staleness_max", m_ledger.m_stalenessMax },
      { "idle_share", idleShare },
      { "rejected_batches", m_rejectedBatches },
      { "pulls", m_pullCount },
      { "tokens_by_version", std::move(tokens) } });
  }
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

} // namespace heatherdeal::standin
