#include "batches/batches.h"

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"

#include "core/utf8.h"
#include "http/exchange.h"
#include "kernel/eventlog.h"

namespace heatherdeal::batches {

namespace {

namespace asio = boost::asio;

constexpr uint32_t kFirstSuccess = 200;
constexpr uint32_t kFirstRedirection = 300;
constexpr uint32_t kInternalError = 500;
constexpr size_t kMaxScoreStartsPerPass = 32;

ScoreOutcome
ToScoreOutcome(const absl::StatusOr<relay::RoutedResponse>& aResponse)
{
  if (!aResponse.ok()) {
    return ScoreUnavailable{};
  }
  const uint32_t status = aResponse->m_response.m_head.m_status;
  const bool isScored = status >= kFirstSuccess && status < kFirstRedirection;
  if (isScored && core::IsUtf8(aResponse->m_proof)) {
    return Scored{ aResponse->m_proof };
  }
  // Other statuses say nothing of the item, so that they do not count towards
  // its attempts.
  if (status != kInternalError) {
    return ScoreUnavailable{};
  }
  return ScoreFailed{};
}

asio::awaitable<void>
ScoreAndReport(std::shared_ptr<relay::Relay> aRelay,
               kernel::Context& aContext,
               size_t aLoop,
               relay::RoutedCall aCall,
               ItemId aItem,
               std::function<void(ScoreOutcome)> aDone)
{
  const std::string id = aCall.m_id;
  const absl::StatusOr<relay::RoutedResponse> response =
    co_await aRelay->SendWithRetries(aLoop, std::move(aCall));
  const ScoreOutcome outcome = ToScoreOutcome(response);
  if (!std::holds_alternative<Scored>(outcome)) {
    kernel::LogEvent(
      kernel::LogLevel::Info,
      "batches",
      "score-failed",
      { { "request", id },
        { "item", aItem.m_value },
        { "reason",
          response.ok() ? std::to_string(response->m_response.m_head.m_status)
                        : http::DescribeStatus(response.status()) } });
  }
  aContext.Control().Post([aDone, outcome] { aDone(outcome); });
}

} // namespace

void
Batches::StartScoreRequests(const OwnedPtr& aOwned)
{
  size_t starts = 0;
  while (starts < kMaxScoreStartsPerPass && MayStartRequest()) {
    const std::optional<size_t> item =
      FindNextToScore(aOwned->m_run, kernel::Now());
    if (!item) {
      return;
    }
    const RewardRequest& reward =
      *aOwned->m_run.m_submission->m_items[*item].m_reward;
    const auto document = m_configuration->Read();
    const configuration::Route* route =
      configuration::FindRoute(*document, reward.m_host, reward.m_path);
    if (route == nullptr) {
      PostponeScoring(aOwned, *item);
      continue;
    }
    StartScoreRequest(aOwned, *item, *route);
    starts += 1;
  }
}

void
Batches::PostponeScoring(const OwnedPtr& aOwned, size_t aItem)
{
  m_context.Metrics().Get("batches.scores_without_route").Add();
  BatchRun& run = aOwned->m_run;
  const uint64_t scoringNumber = StartItemScoring(run, aItem);
  FinishItemScoring(run,
                    aItem,
                    scoringNumber,
                    ScoreUnavailable{},
                    run.m_policy.m_maxAttempts,
                    kernel::Now());
}

void
Batches::StartScoreRequest(const OwnedPtr& aOwned,
                           size_t aItem,
                           const configuration::Route& aRoute)
{
  const RewardRequest& reward =
    *aOwned->m_run.m_submission->m_items[aItem].m_reward;
  relay::RoutedCall call;
  call.m_origin = relay::BatchOrigin{};
  call.m_route = aRoute;
  if (!aRoute.m_isPublic) {
    call.m_customer = aOwned->m_run.m_submission->m_customer;
  }
  call.m_id = reward.m_id;
  call.m_request.m_method = "POST";
  call.m_request.m_target = reward.m_path;
  call.m_request.m_headers.push_back({ "Host", reward.m_host });
  call.m_request.m_body = reward.m_body;
  call.m_deadline = kernel::Now() + aRoute.m_timeout;
  call.m_abort = std::make_shared<http::CallAbort>();
  const size_t loop = m_context.Traffic().NextIndex();
  aOwned->m_activeRequests[aItem] = { loop, call.m_abort };
  const uint64_t scoringNumber = StartItemScoring(aOwned->m_run, aItem);
  const uint32_t attempts = aRoute.m_maxAttempts;
  auto done =
    [self = shared_from_this(), aOwned, aItem, scoringNumber, attempts](
      const ScoreOutcome& aOutcome) {
      if (!self->IsOwned(aOwned)) {
        return;
      }
      aOwned->m_activeRequests.erase(aItem);
      FinishItemScoring(
        aOwned->m_run, aItem, scoringNumber, aOutcome, attempts, kernel::Now());
      ReleaseFinishedText(*aOwned, aItem);
      self->RunDueWork();
    };
  asio::co_spawn(m_context.Traffic().Loop(loop),
                 ScoreAndReport(m_relay,
                                m_context,
                                loop,
                                std::move(call),
                                aOwned->m_run.m_submission->m_items[aItem].m_id,
                                std::move(done)),
                 asio::detached);
}

} // namespace heatherdeal::batches
