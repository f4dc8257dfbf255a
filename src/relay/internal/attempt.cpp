// One attempt of a call, at an upstream or by way of another host.

#include "http/exchange.h"
#include "kernel/eventlog.h"
#include "quarantine/fingerprint.h"
#include "relay/attemptlimit.h"
#include "relay/eventstream.h"
#include "relay/internal/callstate.h"
#include "relay/internal/peerrelay.h"

namespace heatherdeal::relay {

namespace {

namespace asio = boost::asio;

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

} // namespace heatherdeal::relay
