#include "relay/relay.h"

#include "core/overloaded.h"
#include "http/exchange.h"
#include "kernel/eventlog.h"
#include "kernel/sleep.h"
#include "quarantine/fingerprint.h"
#include "relay/attemptlimit.h"
#include "relay/eventstream.h"
#include "relay/internal/peerrelay.h"
#include "relay/internal/startrecorder.h"

namespace heatherdeal::relay {

namespace {

namespace asio = boost::asio;

constexpr core::Duration kNoUpstreamDelay = std::chrono::milliseconds(25);
// Time that is reserved for sending the response to the caller.
constexpr core::Duration kResponseMargin = std::chrono::milliseconds(10);
// Most requests end long before their deadline. In the last part of a shutdown,
// a request that may not end in time is rejected, so that it runs elsewhere.
constexpr core::Duration kLateInShutdown = std::chrono::milliseconds(4500);
// The number of other hosts that a call is sent to at most.
constexpr size_t kMaxPeers = 3;
constexpr forwarding::RetryBudgetPolicy kRetryBudget{ 0.3, 20.0 };

bool
IsSuccess(uint32_t aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

core::Failure
MakeNotExecutedFailure(const routing::UpstreamReservation& aReservation,
                       uint32_t aStatus)
{
  return core::PeerRefused{ aReservation.Chosen().m_id.m_value,
                            aStatus,
                            core::Executed::No };
}

void
RecordLoad(routing::UpstreamReservation& aReservation, const LoadReport& aLoad)
{
  constexpr double kPercent = 100.0;
  aReservation.ReportLoad({ aLoad.m_running,
                            aLoad.m_waiting,
                            aLoad.m_slots,
                            aLoad.m_workTimePercent / kPercent },
                          kernel::Now());
}

bool
IsStream(const configuration::Route& aRoute)
{
  return std::holds_alternative<configuration::StreamRequests>(aRoute.m_kind);
}

/// Returns the class of requests that are expected to cost as much as the call.
/// A resumed stream generates less text, and the items of batches differ from
/// what callers send on the same route.
routing::WorkClass
WorkClassOf(const RoutedCall& aCall)
{
  constexpr size_t kOrigins = std::variant_size_v<CallOrigin>;
  const size_t kind =
    aCall.m_position.index() * kOrigins + aCall.m_origin.index();
  return { aCall.m_route.m_name,
           aCall.m_request.m_body.Size(),
           static_cast<uint32_t>(kind) };
}

/// Returns the fingerprint of a request that may be refused for crashing
/// upstreams, or nothing if it may not.
std::optional<quarantine::Fingerprint>
FingerprintOf(const CallOrigin& aOrigin)
{
  const auto* caller = std::get_if<CallerOrigin>(&aOrigin);
  return caller == nullptr ? std::nullopt
                           : std::optional(caller->m_fingerprint);
}

std::string
DescribeFingerprint(const CallOrigin& aOrigin)
{
  const auto fingerprint = FingerprintOf(aOrigin);
  return fingerprint ? quarantine::ToText(*fingerprint) : "";
}

/// Returns true if the caller has left.
bool
IsAborted(const RoutedCall& aCall)
{
  return aCall.m_abort && aCall.m_abort->IsAbortRequested();
}

/// Returns true if the upstream broke the connection, or if no request has been
/// answered since this one was sent.
bool
HasPresumablyCrashed(const core::Failure& aFailure,
                     const routing::UpstreamStats& aStats,
                     core::Instant aSentAt)
{
  const auto* timeout = std::get_if<core::DeadlineExceeded>(&aFailure);
  const bool wasSilent =
    timeout != nullptr && timeout->m_executed != core::Executed::No &&
    aStats.m_answeredAt.load() < aSentAt.time_since_epoch().count();
  return wasSilent || core::MayHaveCrashedPeer(aFailure);
}

/// Counts a call that waits for a permit, for the lifetime of this object.
class WaitingCall
{
public:
  explicit WaitingCall(std::shared_ptr<routing::ServiceDemand> aDemand)
    : m_demand(std::move(aDemand))
  {
    m_demand->m_waitingCalls.fetch_add(1);
  }
  ~WaitingCall() { m_demand->m_waitingCalls.fetch_sub(1); }
  WaitingCall(const WaitingCall&) = delete;
  WaitingCall& operator=(const WaitingCall&) = delete;

private:
  std::shared_ptr<routing::ServiceDemand> m_demand;
};

/// Returns when the last of the calls that wait gets a permit.
core::Instant
EstimatePermitOfQueue(const routing::PermitForecast& aForecast,
                      uint32_t aWaitingCalls)
{
  constexpr core::Duration kMaxWait = std::chrono::minutes(1);
  constexpr double kMicrosecondsPerSecond = 1e6;
  const core::Instant latest = kernel::Now() + kMaxWait;
  const double waitMicroseconds =
    aWaitingCalls * kMicrosecondsPerSecond / aForecast.m_permitsPerSecond;
  const bool isLong =
    !(waitMicroseconds < static_cast<double>(kMaxWait.count()));
  return isLong || aForecast.m_nextPermitAt > latest
           ? latest
           : aForecast.m_nextPermitAt +
               core::Duration(static_cast<int64_t>(waitMicroseconds));
}

} // namespace

void
ReportSignals(limits::UpstreamLimits& aLimits,
              const routing::Upstream& aUpstream,
              const DecodedHead& aHead)
{
  const bool isServed = std::holds_alternative<Served>(aHead.m_outcome);
  const bool isRefusal = std::holds_alternative<NotExecuted>(aHead.m_outcome);
  const bool namesLimit =
    std::holds_alternative<limits::LimitNamed>(aHead.m_limit);
  if (isServed || (isRefusal && namesLimit)) {
    aLimits.ReportAnswer(aUpstream, aHead.m_limit);
  }
  if ((isServed || isRefusal) && aHead.m_isLeaving) {
    routing::ReportLeaving(aUpstream);
  }
}

/// The state of one call across its attempts.
struct Relay::CallState
{
  explicit CallState(std::shared_ptr<usage::UsageCounter> aCounter,
                     const RoutedCall& aCall)
    : m_start(std::move(aCounter), aCall)
  {
  }

  StartRecorder m_start;
  bool m_isCountedAsDemand = false;
  std::optional<WaitingCall> m_waiting;
  forwarding::CallProgress m_retryProgress;
  std::vector<size_t> m_triedUpstreams;
  core::Instant m_refusalRetryDeadline{};
  /// The software that has to resume the stream of the call.
  std::optional<core::Software> m_requiredSoftware;
  std::string m_lastUpstream;
  core::Software m_lastSoftware;
  uint32_t m_refusals = 0;
  /// True if an attempt got no answer, so that the next one should go by way of
  /// another host.
  bool m_isUnanswered = false;
  /// Names of the hosts that the call went to.
  std::vector<std::string> m_triedPeers;
};

Relay::Relay(kernel::Context& aContext)
  : m_context(aContext)
  , m_router(aContext.Get<routing::Router>())
  , m_clients(aContext.Get<http::Clients>())
  , m_quarantine(aContext.Get<quarantine::Quarantine>())
  , m_limits(aContext.Get<limits::UpstreamLimits>())
  , m_streamOrigins(aContext.Get<resumption::StreamOrigins>())
  , m_usage(aContext.Get<usage::UsageCounter>())
  , m_reach(std::make_shared<ReachMonitor>(aContext))
  , m_peers(std::make_shared<PeerRelay>(aContext, m_reach))
{
}

void
Relay::Start()
{
  m_peers->Start();
}

asio::awaitable<void>
Relay::ServePeer(http::Exchange& aExchange)
{
  return m_peers->Serve(aExchange, *this);
}

asio::awaitable<absl::StatusOr<RoutedResponse>>
Relay::ReadResponse(http::ResponseStream& aStream,
                    const RoutedCall& aCall,
                    routing::UpstreamReservation& aReservation,
                    core::Instant aDeadline,
                    StartRecorder& aStart)
{
  const http::ResponseHead& head = aStream.Head();
  const DecodedHead decodedHead = CodecInUse().m_decodeHead(head, aCall.m_id);
  aReservation.ReportAnswer(kernel::Now());
  if (std::holds_alternative<MismatchedResponse>(decodedHead.m_outcome)) {
    aStream.Abandon();
    co_return core::ToStatus(
      core::UnprovedResponse{ aReservation.Chosen().m_id.m_value });
  }
  ReportSignals(*m_limits, aReservation.Chosen(), decodedHead);
  if (decodedHead.m_load) {
    RecordLoad(aReservation, *decodedHead.m_load);
  }
  const auto* served = std::get_if<Served>(&decodedHead.m_outcome);
  if (served == nullptr) {
    co_await aStream.DiscardBody();
    co_return core::ToStatus(
      MakeNotExecutedFailure(aReservation, head.m_status));
  }
  aStart.ReportExecuted();
  if (IsSuccess(head.m_status) && served->m_proof.empty()) {
    aStream.Abandon();
    co_return core::ToStatus(
      core::UnprovedResponse{ aReservation.Chosen().m_id.m_value });
  }
  RoutedResponse response;
  response.m_response.m_head = head;
  response.m_proof = served->m_proof;
  response.m_upstream = aReservation.Chosen().m_id;
  absl::StatusOr<http::ReceivedBody> body =
    co_await aStream.ReadBody(aReservation.Chosen().m_id.m_value, aDeadline);
  if (!body.ok()) {
    co_return body.status();
  }
  // Without a length, the end of a stream looks like the end of a connection
  // whose upstream crashed; only its last event may tell.
  const bool mayHaveBrokenOff = IsSuccess(head.m_status) &&
                                IsStream(aCall.m_route) &&
                                !aStream.IsEndMarked();
  if (mayHaveBrokenOff && EndsWithinEvent(body->m_bytes)) {
    co_return core::ToStatus(
      core::TruncatedResponse{ aReservation.Chosen().m_id.m_value });
  }
  response.m_response.m_body = std::move(body->m_bytes);
  response.m_response.m_reservation = std::move(body->m_reservation);
  co_return response;
}

core::ServiceId
Relay::ChooseService(const RoutedCall& aCall, const CallState& aState)
{
  if (aState.m_requiredSoftware) {
    return aState.m_requiredSoftware->m_service;
  }
  const uint64_t sequence = m_nextSequence.fetch_add(1);
  // A service that has lost its upstreams leaves its share to the others.
  std::vector<core::ServiceId> withoutUpstreams;
  while (const core::ServiceId* service = configuration::ChooseServiceExcept(
           aCall.m_route, sequence, withoutUpstreams)) {
    const auto pool = m_router->FindPool(service->m_value);
    if (pool && routing::HasStayingUpstream(*pool)) {
      return *service;
    }
    withoutUpstreams.push_back(*service);
  }
  return configuration::ChooseService(aCall.m_route, sequence);
}

absl::StatusOr<std::shared_ptr<const routing::Pool>>
Relay::FindPool(const RoutedCall& aCall,
                const CallState& aState,
                const core::ServiceId& aService) const
{
  auto pool = m_router->FindPool(aService.m_value);
  if (!aState.m_requiredSoftware) {
    return pool;
  }
  // The route may have been moved to other services since the stream began.
  const bool isAllowed =
    std::ranges::find(aCall.m_route.m_services,
                      aService,
                      &configuration::WeightedService::m_service) !=
    aCall.m_route.m_services.end();
  auto selected = pool && isAllowed
                    ? routing::SelectSoftware(*pool, *aState.m_requiredSoftware)
                    : nullptr;
  if (!selected || selected->m_upstreams.empty()) {
    return core::ToStatus(core::SoftwareUnavailable{
      std::get<ResumeStream>(aCall.m_position).m_stream.m_value });
  }
  return selected;
}

asio::awaitable<absl::StatusOr<RoutedResponse>>
Relay::SendAttempt(size_t aLoopIndex,
                   const RoutedCall& aCall,
                   CallState& aState)
{
  const core::ServiceId service = ChooseService(aCall, aState);
  const auto found = FindPool(aCall, aState, service);
  if (!found.ok()) {
    co_return found.status();
  }
  const std::shared_ptr<const routing::Pool>& pool = *found;
  const core::Instant now = kernel::Now();
  const auto fingerprint = FingerprintOf(aCall.m_origin);
  const auto refusalEnd =
    fingerprint ? m_quarantine->FindRefusalEnd(*fingerprint) : std::nullopt;
  if (refusalEnd) {
    co_return core::ToStatus(
      quarantine::MakeFailure(*fingerprint, *refusalEnd, now));
  }
  if (pool && !aState.m_isCountedAsDemand) {
    pool->m_demand->m_calls.fetch_add(1);
    aState.m_isCountedAsDemand = true;
  }
  std::unique_ptr<routing::UpstreamReservation> reservation =
    pool ? m_router->ReserveUpstream(
             pool, WorkClassOf(aCall), aState.m_triedUpstreams, now)
         : nullptr;
  if (!reservation) {
    co_return core::ToStatus(
      MakeUnavailableFailure(aState, pool.get(), service));
  }
  aState.m_waiting.reset();
  aState.m_triedUpstreams.push_back(reservation->Index());
  aState.m_lastUpstream = reservation->Chosen().m_id.m_value;
  aState.m_lastSoftware = reservation->Chosen().m_software;
  const core::Instant deadline = AttemptDeadline(
    aCall.m_route, aState.m_retryProgress.m_attempts, now, aCall.m_deadline);
  http::Request request = aCall.m_request;
  request.m_repeatedId = aCall.m_id;
  SendContext context;
  context.m_requestId = aCall.m_id;
  context.m_expectedInstance = reservation->Chosen().m_id;
  context.m_customer = aCall.m_customer;
  context.m_timeLeft = deadline - now;
  CodecInUse().m_encodeRequest(request, context);
  aState.m_start.SetSendTime(kernel::UnixMilliseconds());
  const http::Reuse reuse = IsIdempotent(aCall.m_route.m_kind)
                              ? http::Reuse::Allowed
                              : http::Reuse::Never;
  auto opened = co_await m_clients->ForLoop(aLoopIndex)
                  .OpenStream(reservation->Chosen().m_endpoint,
                              std::move(request),
                              reuse,
                              deadline,
                              aCall.m_abort);
  if (!opened.ok()) {
    RecordOutcome(aCall, *reservation, now, opened.status());
    aState.m_start.ReportFailure(http::FailureOf(opened.status()));
    if (!IsAborted(aCall)) {
      aState.m_isUnanswered = true;
      m_reach->ReportUnanswered();
    }
    co_return opened.status();
  }
  const std::unique_ptr<http::ResponseStream> stream = *std::move(opened);
  absl::StatusOr<RoutedResponse> response = co_await ReadResponse(
    *stream, aCall, *reservation, deadline, aState.m_start);
  if (!response.ok()) {
    aState.m_start.ReportFailure(http::FailureOf(response.status()));
  }
  RecordOutcome(aCall, *reservation, now, response.status());
  if (response.ok() && IsSuccess(response->m_response.m_head.m_status)) {
    reservation->ReportCompletion(now, kernel::Now());
  }
  const bool beginsStream =
    IsStream(aCall.m_route) &&
    std::holds_alternative<FromBeginning>(aCall.m_position);
  if (response.ok() && beginsStream) {
    m_streamOrigins->Record({ aCall.m_id }, reservation->Chosen().m_software);
  }
  co_return response;
}

std::optional<objectstore::HostEntry>
Relay::ChoosePeer(const RoutedCall& aCall, const CallState& aState)
{
  const bool shouldDetour = aCall.m_mayDetour &&
                            aState.m_triedPeers.size() < kMaxPeers &&
                            (m_reach->IsCutOff() || aState.m_isUnanswered);
  if (!shouldDetour) {
    return std::nullopt;
  }
  return m_peers->ChoosePeer(aState.m_triedPeers, m_nextSequence.fetch_add(1));
}

asio::awaitable<absl::StatusOr<RoutedResponse>>
Relay::MakeAttempt(size_t aLoopIndex,
                   const RoutedCall& aCall,
                   CallState& aState)
{
  if (auto peer = ChoosePeer(aCall, aState)) {
    return SendByPeer(aLoopIndex, *std::move(peer), aCall, aState);
  }
  return SendAttempt(aLoopIndex, aCall, aState);
}

asio::awaitable<absl::StatusOr<RoutedResponse>>
Relay::SendByPeer(size_t aLoopIndex,
                  objectstore::HostEntry aPeer,
                  const RoutedCall& aCall,
                  CallState& aState)
{
  aState.m_triedPeers.push_back(aPeer.m_name);
  aState.m_lastUpstream = aPeer.m_name;
  aState.m_lastSoftware = {};
  const core::Instant deadline =
    AttemptDeadline(aCall.m_route,
                    aState.m_retryProgress.m_attempts,
                    kernel::Now(),
                    aCall.m_deadline);
  aState.m_start.SetSendTime(kernel::UnixMilliseconds());
  absl::StatusOr<PeerResponse> response =
    co_await m_peers->Send(aLoopIndex, aPeer, aCall, deadline);
  if (!response.ok()) {
    aState.m_start.ReportFailure(http::FailureOf(response.status()));
    co_return response.status();
  }
  kernel::LogEvent(kernel::LogLevel::Info,
                   "relay",
                   "relayed",
                   { { "request", aCall.m_id },
                     { "host", aPeer.m_name },
                     { "upstream", response->m_upstream.m_value } });
  const DecodedHead head =
    CodecInUse().m_decodeHead(response->m_response.m_head, aCall.m_id);
  if (const auto upstream = m_router->FindUpstream(response->m_upstream)) {
    ReportSignals(*m_limits, *upstream, head);
  }
  const auto* served = std::get_if<Served>(&head.m_outcome);
  if (served == nullptr) {
    co_return core::ToStatus(core::UnprovedResponse{ aPeer.m_name });
  }
  aState.m_start.ReportExecuted();
  co_return RoutedResponse{ std::move(response->m_response),
                            served->m_proof,
                            response->m_upstream };
}

core::Failure
Relay::MakeUnavailableFailure(CallState& aState,
                              const routing::Pool* aPool,
                              const core::ServiceId& aService)
{
  const core::Instant now = kernel::Now();
  const auto forecast =
    aPool == nullptr ? std::nullopt : routing::ForecastPermits(*aPool, now);
  if (!forecast || aState.m_waiting) {
    return core::NoUpstream{ aService.m_value };
  }
  const core::Instant permitAt =
    EstimatePermitOfQueue(*forecast, aPool->m_demand->m_waitingCalls.load());
  if (permitAt < aState.m_refusalRetryDeadline) {
    aState.m_waiting.emplace(aPool->m_demand);
    return core::NoUpstream{ aService.m_value };
  }
  return core::RateLimited{ aService.m_value,
                            static_cast<uint64_t>(
                              kernel::Milliseconds(permitAt - now)) };
}

void
Relay::RecordOutcome(const RoutedCall& aCall,
                     routing::UpstreamReservation& aReservation,
                     core::Instant aSentAt,
                     const absl::Status& aStatus)
{
  const auto fingerprint = FingerprintOf(aCall.m_origin);
  const core::UpstreamRun run = routing::RunOf(aReservation.Chosen());
  if (aStatus.ok()) {
    aReservation.ReportSuccess();
    m_quarantine->ReportAnswer(run, aSentAt);
    if (fingerprint) {
      m_quarantine->ReportServed(*fingerprint);
    }
    return;
  }
  const core::Failure failure = http::FailureOf(aStatus);
  const bool isRefusal = std::holds_alternative<core::PeerRefused>(failure);
  if (!isRefusal) {
    aReservation.ReportFailure(kernel::Now());
  }
  if (fingerprint && !IsAborted(aCall) &&
      HasPresumablyCrashed(failure, *aReservation.Chosen().m_stats, aSentAt)) {
    m_quarantine->ReportCrash(*fingerprint, run);
  }
}

forwarding::NextStep
Relay::DecideNextStep(const RoutedCall& aCall,
                      CallState& aState,
                      const core::Failure& aFailure)
{
  const core::Instant now = kernel::Now();
  // Waiting would not help these in time.
  const bool isRefused =
    std::holds_alternative<core::Quarantined>(aFailure) ||
    std::holds_alternative<core::SoftwareUnavailable>(aFailure) ||
    std::holds_alternative<core::RateLimited>(aFailure);
  const bool wasNotExecuted =
    !isRefused && core::ExecutedOf(aFailure) == core::Executed::No;
  const bool hasNoUpstream = std::holds_alternative<core::NoUpstream>(aFailure);
  // The request was not executed, so retrying it on another upstream is safe
  // and does not count against the retry budget.
  const bool canDetour = wasNotExecuted && aState.m_triedPeers.empty() &&
                         now < aCall.m_deadline &&
                         ChoosePeer(aCall, aState).has_value();
  if (canDetour || ((wasNotExecuted || hasNoUpstream) &&
                    now < aState.m_refusalRetryDeadline)) {
    aState.m_refusals += 1;
    return forwarding::RetryCall{};
  }
  const forwarding::RetryConstraints constraints{ IsIdempotent(
                                                    aCall.m_route.m_kind),
                                                  aCall.m_route.m_maxAttempts,
                                                  aCall.m_deadline };
  const std::scoped_lock lock(m_budgetMutex);
  return forwarding::DecideAfterFailure(
    aState.m_retryProgress, constraints, m_budget, aFailure, now);
}

asio::awaitable<absl::StatusOr<RoutedResponse>>
Relay::SendWithRetries(size_t aLoopIndex, RoutedCall aCall)
{
  CallState state(m_usage, aCall);
  const core::Instant arrivedAt = kernel::Now();
  state.m_refusalRetryDeadline =
    RefusalRetryDeadline(aCall.m_route, arrivedAt, aCall.m_deadline);
  {
    const std::scoped_lock lock(m_budgetMutex);
    forwarding::CreditRetryBudget(m_budget, kRetryBudget);
  }
  const core::Instant shutdownDeadline = m_context.ProcessShutdown().Deadline();
  if (aCall.m_deadline > shutdownDeadline) {
    if (shutdownDeadline - arrivedAt < kLateInShutdown) {
      co_return core::ToStatus(core::Draining{ m_context.Self().m_host });
    }
    aCall.m_deadline = shutdownDeadline;
  }
  aCall.m_deadline -= kResponseMargin;
  if (const auto* resume = std::get_if<ResumeStream>(&aCall.m_position)) {
    absl::StatusOr<core::Software> software =
      co_await m_streamOrigins->Find(aLoopIndex, resume->m_stream);
    if (!software.ok()) {
      co_return software.status();
    }
    state.m_requiredSoftware = *std::move(software);
  }
  for (;;) {
    absl::StatusOr<RoutedResponse> response =
      co_await MakeAttempt(aLoopIndex, aCall, state);
    if (response.ok() || IsAborted(aCall)) {
      co_return response;
    }
    const core::Failure failure = http::FailureOf(response.status());
    const forwarding::NextStep step = DecideNextStep(aCall, state, failure);
    kernel::LogEvent(
      kernel::LogLevel::Info,
      "relay",
      "attempt-failed",
      { { "request", aCall.m_id },
        { "route", aCall.m_route.m_name },
        { "upstream", state.m_lastUpstream },
        { "software", state.m_lastSoftware.m_version.m_value },
        { "fingerprint", DescribeFingerprint(aCall.m_origin) },
        { "attempts", state.m_retryProgress.m_attempts },
        { "refusals", state.m_refusals },
        { "failure", core::Describe(failure) },
        { "age_ms", kernel::Milliseconds(kernel::Now() - arrivedAt) },
        { "again", std::holds_alternative<forwarding::RetryCall>(step) } });
    if (const auto* failCall = std::get_if<forwarding::FailCall>(&step)) {
      co_return core::ToStatus(failCall->m_failure);
    }
    const bool hasNoUpstream =
      std::holds_alternative<core::NoUpstream>(failure);
    if (hasNoUpstream) {
      // No untried upstream is left. Waits, then makes all upstreams eligible
      // again.
      state.m_triedUpstreams.clear();
      co_await kernel::SleepUntil(kernel::Now() + kNoUpstreamDelay);
    }
  }
}

} // namespace heatherdeal::relay
