#include "forwarding/internal/call.h"

#include <algorithm>
#include <charconv>

#include "absl/strings/match.h"
#include "core/overloaded.h"
#include "forwarding/internal/submissions.h"
#include "quarantine/fingerprint.h"

namespace heatherdeal::forwarding {

namespace {

namespace asio = boost::asio;

constexpr std::string_view kDeadlineHeader = "X-Heatherdeal-Deadline-Ms";
constexpr std::string_view kIdempotentHeader = "X-Heatherdeal-Idempotent";
constexpr std::string_view kExecutedHeader = "X-Heatherdeal-Executed";
constexpr std::string_view kRequestIdHeader = "X-Heatherdeal-Request-Id";
constexpr std::string_view kAttemptHeaders[] = { kDeadlineHeader,
                                                 kRequestIdHeader };
constexpr size_t kMaxBufferedResponseBytes = 64 * 1024;
constexpr std::string_view kGeneratePath = "/v1/generate";
constexpr uint32_t kHttpOk = 200;
constexpr uint32_t kHttpTooManyRequests = 429;
constexpr uint32_t kHttpServiceUnavailable = 503;

bool
HeaderNamesEqual(std::string_view aLeft, std::string_view aRight)
{
  return absl::EqualsIgnoreCase({ aLeft.data(), aLeft.size() },
                                { aRight.data(), aRight.size() });
}

/// The host name is that of the connection, too.
std::vector<http::Header>
EndToEndHeaders(std::span<const http::Header> aHeaders)
{
  std::vector<http::Header> headers = http::CopyEndToEndHeaders(aHeaders);
  std::erase_if(headers, [](const http::Header& aHeader) {
    return HeaderNamesEqual(aHeader.m_name, "Host");
  });
  return headers;
}

bool
IsIdempotent(const http::Request& aRequest)
{
  const std::string_view headerValue =
    http::FindHeader(aRequest.m_headers, kIdempotentHeader);
  if (!headerValue.empty()) {
    return headerValue == "true";
  }
  const std::string& method = aRequest.m_method;
  return method == "GET" || method == "HEAD" || method == "PUT" ||
         method == "DELETE" || method == "OPTIONS";
}

core::Instant
ParseDeadline(const http::Request& aRequest,
              core::Duration aMaxCallTime,
              core::Instant aNow)
{
  const std::string_view headerText =
    http::FindHeader(aRequest.m_headers, kDeadlineHeader);
  int64_t milliseconds = 0;
  const auto [parseEnd, error] = std::from_chars(
    headerText.data(), headerText.data() + headerText.size(), milliseconds);
  if (error != std::errc() || milliseconds < 0) {
    return aNow + aMaxCallTime;
  }
  const core::Duration requestedTime = std::chrono::milliseconds(milliseconds);
  return aNow + std::min(requestedTime, aMaxCallTime);
}

/// Returns true if the response says that the upstream did not run the request.
bool
IsReportedNotRun(const http::ResponseHead& aHead)
{
  const bool isRefusal = aHead.m_status == kHttpTooManyRequests ||
                         aHead.m_status == kHttpServiceUnavailable;
  return isRefusal &&
         http::FindHeader(aHead.m_headers, kExecutedHeader) == "no";
}

} // namespace

Call::Call(Forwarder& aForwarder,
           http::Exchange& aExchange,
           std::shared_ptr<const routing::Pool> aPool,
           std::shared_ptr<ServiceState> aServiceState)
  : m_forwarder(aForwarder)
  , m_exchange(aExchange)
  , m_pool(std::move(aPool))
  , m_serviceState(std::move(aServiceState))
{
  const configuration::Service& service = m_pool->m_service;
  const http::Request& request = aExchange.ReceivedRequest();
  m_retryConstraints.m_idempotent = IsIdempotent(request);
  m_retryConstraints.m_maxAttempts = service.m_maxAttemptsPerCall;
  m_retryConstraints.m_deadline =
    ParseDeadline(request, service.m_callTimeout, kernel::Now());
  m_fingerprint = quarantine::ComputeFingerprint(request, kAttemptHeaders);
  m_serviceState->m_inFlight.fetch_add(1);
}

Call::~Call()
{
  m_serviceState->m_inFlight.fetch_sub(1);
}

asio::awaitable<absl::Status>
Call::ClaimRequestId()
{
  const configuration::Service& service = m_pool->m_service;
  const std::string_view requestId =
    http::FindHeader(m_exchange.ReceivedRequest().m_headers, kRequestIdHeader);
  const bool needsRecord =
    !m_retryConstraints.m_idempotent && !requestId.empty() &&
    std::holds_alternative<configuration::OncePerRequestId>(
      service.m_atMostOncePolicy);
  if (!needsRecord) {
    co_return absl::OkStatus();
  }
  if (!IsValidRequestId(requestId)) {
    co_return core::ToStatus(
      core::InvalidInput{ std::string(kRequestIdHeader),
                          "1 to 128 characters of A-Z a-z 0-9 . _ -" });
  }
  m_submissionName = service.m_name.m_value + "." + std::string(requestId);
  co_return co_await ClaimSubmission(
    m_forwarder.m_context, m_exchange.LoopIndex(), m_submissionName);
}

asio::awaitable<void>
Call::Forward()
{
  {
    const std::scoped_lock lock(m_serviceState->m_mutex);
    CreditRetryBudget(m_serviceState->m_budget, RetryBudgetPolicy{});
  }
  const absl::Status claimed = co_await ClaimRequestId();
  if (!claimed.ok()) {
    m_forwarder.m_context.Metrics().Get("forwarding.not_claimed").Add();
    http::Response response =
      http::MakeFailureResponse(http::FailureOf(claimed));
    co_await m_exchange.RespondIgnoringErrors(std::move(response));
    co_return;
  }
  for (;;) {
    const absl::Status status = co_await TryUpstream();
    if (status.ok() || m_isCallerDisconnected) {
      co_return;
    }
    const core::Failure failure = http::FailureOf(status);
    const NextStep step = DecideNextStep(failure);
    if (std::holds_alternative<RetryCall>(step)) {
      m_forwarder.m_context.Metrics().Get("forwarding.retries").Add();
      continue;
    }
    const FailCall* failCall = std::get_if<FailCall>(&step);
    if (failCall != nullptr && !m_exchange.HasResponseStarted()) {
      co_await ReplyFailure(failCall->m_failure);
      co_return;
    }
    m_forwarder.m_context.Metrics().Get("forwarding.broken_off").Add();
    co_return;
  }
}

asio::awaitable<void>
Call::ReplyFailure(core::Failure aFailure)
{
  m_forwarder.m_context.Metrics()
    .Get("forwarding.failed_" + std::string(core::KindOf(aFailure)))
    .Add();
  const bool didNotRun = core::ExecutedOf(aFailure) == core::Executed::No;
  if (didNotRun && !m_submissionName.empty()) {
    // Release the record, so that the caller can send the request again.
    ReleaseSubmission(m_forwarder.m_context, m_submissionName);
  }
  http::Response response = http::MakeFailureResponse(aFailure);
  co_await m_exchange.RespondIgnoringErrors(std::move(response));
}

NextStep
Call::DecideNextStep(const core::Failure& aFailure)
{
  const std::scoped_lock lock(m_serviceState->m_mutex);
  return DecideAfterFailure(m_progress,
                            m_retryConstraints,
                            m_serviceState->m_budget,
                            aFailure,
                            kernel::Now());
}

http::Request
Call::MakeUpstreamRequest() const
{
  const http::Request& callerRequest = m_exchange.ReceivedRequest();
  http::Request request;
  request.m_method = callerRequest.m_method;
  request.m_headers = EndToEndHeaders(callerRequest.m_headers);
  request.m_body = m_tokenStream.MakeResumeBody(callerRequest.m_body);
  // The upstream receives the path without the prefix /apps/SERVICE.
  const std::string prefix = "/apps/" + m_pool->m_service.m_name.m_value;
  request.m_target = callerRequest.m_target.substr(prefix.size());
  if (request.m_target.empty() || request.m_target.front() != '/') {
    request.m_target.insert(0, "/");
  }
  const auto remainingTime =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      m_retryConstraints.m_deadline - kernel::Now());
  std::erase_if(request.m_headers, [](const http::Header& aHeader) {
    return HeaderNamesEqual(aHeader.m_name, kDeadlineHeader);
  });
  request.m_headers.push_back(
    { std::string(kDeadlineHeader), std::to_string(remainingTime.count()) });
  return request;
}

asio::awaitable<absl::Status>
Call::TryUpstream()
{
  const core::Instant now = kernel::Now();
  if (now >= m_retryConstraints.m_deadline) {
    co_return core::ToStatus(
      core::DeadlineExceeded{ "call", core::Executed::No });
  }
  if (const auto refusalEnd =
        m_forwarder.m_quarantine->FindRefusalEnd(m_fingerprint)) {
    co_return core::ToStatus(
      quarantine::MakeFailure(m_fingerprint, *refusalEnd, now));
  }
  const std::unique_ptr<routing::UpstreamReservation> reservation =
    m_forwarder.m_router->ReserveUpstream(m_pool, {}, m_triedUpstreams, now);
  if (!reservation) {
    co_return core::ToStatus(
      core::NoUpstream{ m_pool->m_service.m_name.m_value });
  }
  m_triedUpstreams.push_back(reservation->Index());
  http::Client& client = m_forwarder.m_clients->ForLoop(m_exchange.LoopIndex());
  http::Request request = MakeUpstreamRequest();
  const http::Reuse reuse =
    m_retryConstraints.m_idempotent ? http::Reuse::Allowed : http::Reuse::Never;
  absl::StatusOr<std::unique_ptr<http::ResponseStream>> response =
    co_await client.OpenStream(reservation->Chosen().m_endpoint,
                               std::move(request),
                               reuse,
                               m_retryConstraints.m_deadline);
  if (!response.ok()) {
    RecordFailure(*reservation, http::FailureOf(response.status()));
    co_return response.status();
  }
  if (IsReportedNotRun((*response)->Head())) {
    co_return core::ToStatus(
      core::PeerRefused{ http::ToText(reservation->Chosen().m_endpoint),
                         (*response)->Head().m_status,
                         core::Executed::No });
  }
  if (m_exchange.HasResponseStarted() && !IsResumable((*response)->Head())) {
    co_return core::ToStatus(
      core::PeerRefused{ http::ToText(reservation->Chosen().m_endpoint),
                         (*response)->Head().m_status,
                         core::Executed::Unknown });
  }
  const absl::Status relayStatus =
    co_await RelayResponse(**response, reservation->Chosen());
  if (relayStatus.ok()) {
    RecordSuccess(*reservation);
  } else if (!m_isCallerDisconnected) {
    RecordFailure(*reservation, http::FailureOf(relayStatus));
  }
  co_return relayStatus;
}

asio::awaitable<absl::Status>
Call::RelayResponse(http::ResponseStream& aUpstreamResponse,
                    const routing::Upstream& aUpstream)
{
  if (IsResumable(aUpstreamResponse.Head())) {
    return RelayTokenStream(aUpstreamResponse, aUpstream);
  }
  const std::string_view contentLength =
    http::FindHeader(aUpstreamResponse.Head().m_headers, "Content-Length");
  size_t bodyBytes = 0;
  std::from_chars(contentLength.data(),
                  contentLength.data() + contentLength.size(),
                  bodyBytes);
  // A small response of known size is buffered, so that the call can still be
  // retried at another upstream if the response is truncated.
  if (!contentLength.empty() && bodyBytes <= kMaxBufferedResponseBytes) {
    return RelayBuffered(aUpstreamResponse);
  }
  return RelayStreaming(aUpstreamResponse);
}

bool
Call::IsResumable(const http::ResponseHead& aHead) const
{
  return m_retryConstraints.m_idempotent && aHead.m_status == kHttpOk &&
         std::holds_alternative<configuration::ModelEngines>(
           m_pool->m_service.m_kind) &&
         http::PathOf(m_exchange.ReceivedRequest().m_target)
           .ends_with(kGeneratePath);
}

asio::awaitable<absl::Status>
Call::RelayTokenStream(http::ResponseStream& aUpstreamResponse,
                       const routing::Upstream& aUpstream)
{
  absl::Status sent = absl::OkStatus();
  if (!m_exchange.HasResponseStarted()) {
    http::ResponseHead head;
    head.m_headers = EndToEndHeaders(aUpstreamResponse.Head().m_headers);
    // From here on, only the same software can go on with the stream.
    routing::AddOtherSoftware(*m_pool, aUpstream.m_software, m_triedUpstreams);
    sent = co_await m_exchange.StartStream(std::move(head));
  }
  while (sent.ok() && !m_tokenStream.HasEnded()) {
    absl::StatusOr<std::string_view> chunk =
      co_await aUpstreamResponse.Read(m_retryConstraints.m_deadline);
    if (chunk.ok() && chunk->empty()) {
      // The stream ended without its end marker.
      chunk = core::ToStatus(core::TruncatedResponse{ "upstream" });
    }
    if (!chunk.ok()) {
      m_tokenStream.DiscardPartialLine();
      co_return chunk.status();
    }
    const std::string_view lines = m_tokenStream.TakeCompleteLines(*chunk);
    if (m_tokenStream.IsLineTooLong()) {
      aUpstreamResponse.Abandon();
      m_tokenStream.DiscardPartialLine();
      co_return core::ToStatus(core::ResponseTooLarge{
        "upstream", TokenStreamProgress::kMaxLineBytes });
    }
    sent = co_await m_exchange.Write(lines);
  }
  if (sent.ok()) {
    sent = co_await m_exchange.Finish();
  }
  m_isCallerDisconnected = !sent.ok();
  co_return sent;
}

asio::awaitable<absl::Status>
Call::RelayBuffered(http::ResponseStream& aUpstreamResponse)
{
  http::Response response;
  response.m_head.m_status = aUpstreamResponse.Head().m_status;
  response.m_head.m_headers =
    EndToEndHeaders(aUpstreamResponse.Head().m_headers);
  absl::StatusOr<http::ReceivedBody> body = co_await aUpstreamResponse.ReadBody(
    "upstream", m_retryConstraints.m_deadline);
  if (!body.ok()) {
    co_return body.status();
  }
  response.m_body = std::move(body->m_bytes);
  response.m_reservation = std::move(body->m_reservation);
  m_progress.m_responseStarted = true;
  const absl::Status sent = co_await m_exchange.Respond(std::move(response));
  m_isCallerDisconnected = !sent.ok();
  co_return sent;
}

asio::awaitable<absl::Status>
Call::RelayStreaming(http::ResponseStream& aUpstreamResponse)
{
  http::ResponseHead head;
  head.m_status = aUpstreamResponse.Head().m_status;
  head.m_headers = EndToEndHeaders(aUpstreamResponse.Head().m_headers);
  m_progress.m_responseStarted = true;
  absl::Status sent = co_await m_exchange.StartStream(std::move(head));
  while (sent.ok() && !aUpstreamResponse.HasEnded()) {
    const absl::StatusOr<std::string_view> chunk =
      co_await aUpstreamResponse.Read(m_retryConstraints.m_deadline);
    if (!chunk.ok()) {
      co_return chunk.status();
    }
    sent = co_await m_exchange.Write(*chunk);
  }
  if (sent.ok()) {
    sent = co_await m_exchange.Finish();
  }
  m_isCallerDisconnected = !sent.ok();
  co_return sent;
}

void
Call::RecordFailure(routing::UpstreamReservation& aReservation,
                    const core::Failure& aFailure)
{
  const core::Instant now = kernel::Now();
  aReservation.ReportFailure(now);
  if (core::MayHaveCrashedPeer(aFailure)) {
    m_forwarder.m_quarantine->ReportCrash(
      m_fingerprint, routing::RunOf(aReservation.Chosen()));
  }
}

void
Call::RecordSuccess(routing::UpstreamReservation& aReservation)
{
  aReservation.ReportSuccess();
  m_forwarder.m_quarantine->ReportServed(m_fingerprint);
}

} // namespace heatherdeal::forwarding
