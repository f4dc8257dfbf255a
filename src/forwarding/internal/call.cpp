#include "forwarding/internal/call.h"

#include <algorithm>
#include <charconv>

#include "absl/strings/match.h"
#include "xxhash.h"

#include "core/overloaded.h"
#include "forwarding/internal/submissions.h"

namespace heatherdeal::forwarding {

namespace {

namespace asio = boost::asio;

constexpr std::string_view kDeadlineHeader = "X-Heatherdeal-Deadline-Ms";
constexpr std::string_view kIdempotentHeader = "X-Heatherdeal-Idempotent";
constexpr std::string_view kExecutedHeader = "X-Heatherdeal-Executed";
constexpr std::string_view kRequestIdHeader = "X-Heatherdeal-Request-Id";
constexpr size_t kWholeAnswerBytes = 64 * 1024;
constexpr std::string_view kGeneratePath = "/v1/generate";
constexpr uint32_t kOk = 200;
constexpr uint32_t kTooManyRequests = 429;
constexpr uint32_t kUnavailable = 503;

// Headers that belong to one connection.
constexpr std::string_view kHopHeaders[] = {
  "Connection", "Transfer-Encoding", "Content-Length", "Keep-Alive", "Host",
  "TE",         "Upgrade",           "Trailer"
};

bool
EqualsName(std::string_view aLeft, std::string_view aRight)
{
  return absl::EqualsIgnoreCase({ aLeft.data(), aLeft.size() },
                                { aRight.data(), aRight.size() });
}

bool
IsHopHeader(std::string_view aName)
{
  return std::ranges::any_of(kHopHeaders, [aName](std::string_view aHop) {
    return EqualsName(aHop, aName);
  });
}

std::vector<http::Header>
EndToEnd(std::span<const http::Header> aHeaders)
{
  std::vector<http::Header> headers;
  for (const http::Header& header : aHeaders) {
    if (!IsHopHeader(header.m_name)) {
      headers.push_back(header);
    }
  }
  return headers;
}

bool
IsIdempotent(const http::Request& aRequest)
{
  const std::string_view said =
    http::FindHeader(aRequest.m_headers, kIdempotentHeader);
  if (!said.empty()) {
    return said == "true";
  }
  const std::string& method = aRequest.m_method;
  return method == "GET" || method == "HEAD" || method == "PUT" ||
         method == "DELETE" || method == "OPTIONS";
}

core::Instant
DeadlineOf(const http::Request& aRequest,
           core::Duration aCallTime,
           core::Instant aNow)
{
  const std::string_view text =
    http::FindHeader(aRequest.m_headers, kDeadlineHeader);
  int64_t milliseconds = 0;
  const auto [rest, error] =
    std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (error != std::errc() || milliseconds < 0) {
    return aNow + aCallTime;
  }
  const core::Duration asked = std::chrono::milliseconds(milliseconds);
  return aNow + std::min(asked, aCallTime);
}

uint64_t
FingerprintOf(const http::Request& aRequest)
{
  const uint64_t target =
    XXH64(aRequest.m_target.data(), aRequest.m_target.size(), 0);
  return XXH64(aRequest.m_body.data(), aRequest.m_body.size(), target);
}

/// True if the upstream says itself that it has not run the request.
bool
SaysNotRun(const http::AnswerHead& aHead)
{
  const bool busy =
    aHead.m_status == kTooManyRequests || aHead.m_status == kUnavailable;
  return busy && http::FindHeader(aHead.m_headers, kExecutedHeader) == "no";
}

} // namespace

Call::Call(Forwarder& aForwarder,
           http::Exchange& aExchange,
           std::shared_ptr<const routing::Pool> aPool,
           std::shared_ptr<ServiceMeter> aMeter)
  : m_forwarder(aForwarder)
  , m_exchange(aExchange)
  , m_pool(std::move(aPool))
  , m_meter(std::move(aMeter))
{
  const configuration::Service& service = m_pool->m_service;
  const http::Request& request = aExchange.Asked();
  m_facts.m_idempotent = IsIdempotent(request);
  m_facts.m_maxAttempts = service.m_maxAttemptsPerCall;
  m_facts.m_deadline =
    DeadlineOf(request, service.m_callTimeout, kernel::Now());
  m_fingerprint = FingerprintOf(request);
  m_meter->m_inFlight.fetch_add(1);
}

Call::~Call()
{
  m_meter->m_inFlight.fetch_sub(1);
}

asio::awaitable<absl::Status>
Call::Claim()
{
  const configuration::Service& service = m_pool->m_service;
  const std::string_view id =
    http::FindHeader(m_exchange.Asked().m_headers, kRequestIdHeader);
  const bool recorded = !m_facts.m_idempotent && !id.empty() &&
                        std::holds_alternative<configuration::OncePerRequestId>(
                          service.m_atMostOncePolicy);
  if (!recorded) {
    co_return absl::OkStatus();
  }
  if (!IsRequestId(id)) {
    co_return core::ToStatus(core::InvalidInput{
      std::string(kRequestIdHeader), "1 to 128 of A-Z a-z 0-9 . _ -" });
  }
  m_recordName = service.m_name.m_value + "." + std::string(id);
  co_return co_await ClaimSubmission(
    m_forwarder.m_context, m_exchange.LoopIndex(), m_recordName);
}

asio::awaitable<void>
Call::Run()
{
  {
    const std::scoped_lock lock(m_meter->m_mutex);
    NoteCall(m_meter->m_budget, RetryBudgetPolicy{});
  }
  const absl::Status claimed = co_await Claim();
  if (!claimed.ok()) {
    m_forwarder.m_context.Metrics().Get("forwarding.not_claimed").Add();
    http::Answer answer = http::FailureAnswer(http::FailureOf(claimed));
    co_await m_exchange.Reply(std::move(answer));
    co_return;
  }
  for (;;) {
    const absl::Status status = co_await Attempt();
    if (status.ok() || m_callerGone) {
      co_return;
    }
    const core::Failure failure = http::FailureOf(status);
    const NextStep step = Decide(failure);
    if (std::holds_alternative<TryAgain>(step)) {
      m_forwarder.m_context.Metrics().Get("forwarding.retries").Add();
      continue;
    }
    const GiveUp* giveUp = std::get_if<GiveUp>(&step);
    if (giveUp != nullptr && !m_exchange.HasBegun()) {
      co_await TellFailure(giveUp->m_failure);
      co_return;
    }
    m_forwarder.m_context.Metrics().Get("forwarding.broken_off").Add();
    co_return;
  }
}

asio::awaitable<void>
Call::TellFailure(core::Failure aFailure)
{
  m_forwarder.m_context.Metrics()
    .Get("forwarding.failed_" + std::string(core::KindOf(aFailure)))
    .Add();
  const bool notRun = core::ExecutedOf(aFailure) == core::Executed::No;
  if (notRun && !m_recordName.empty()) {
    // The caller may send it again.
    ReleaseSubmission(m_forwarder.m_context, m_recordName);
  }
  http::Answer answer = http::FailureAnswer(aFailure);
  co_await m_exchange.Reply(std::move(answer));
}

NextStep
Call::Decide(const core::Failure& aFailure)
{
  const std::scoped_lock lock(m_meter->m_mutex);
  return AfterFailure(
    m_progress, m_facts, m_meter->m_budget, aFailure, kernel::Now());
}

http::Request
Call::ToUpstream() const
{
  const http::Request& asked = m_exchange.Asked();
  http::Request request;
  request.m_method = asked.m_method;
  request.m_headers = EndToEnd(asked.m_headers);
  request.m_body = m_generation.RestOf(asked.m_body);
  // The service sees the path behind /apps/SERVICE.
  const std::string prefix = "/apps/" + m_pool->m_service.m_name.m_value;
  request.m_target = asked.m_target.substr(prefix.size());
  if (request.m_target.empty() || request.m_target.front() != '/') {
    request.m_target.insert(0, "/");
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    m_facts.m_deadline - kernel::Now());
  std::erase_if(request.m_headers, [](const http::Header& aHeader) {
    return EqualsName(aHeader.m_name, kDeadlineHeader);
  });
  request.m_headers.push_back(
    { std::string(kDeadlineHeader), std::to_string(left.count()) });
  return request;
}

asio::awaitable<absl::Status>
Call::Attempt()
{
  const core::Instant now = kernel::Now();
  if (now >= m_facts.m_deadline) {
    co_return core::ToStatus(
      core::DeadlineExceeded{ "call", core::Executed::No });
  }
  {
    const std::scoped_lock lock(m_meter->m_mutex);
    if (IsRefused(m_meter->m_quarantine, m_fingerprint, now)) {
      co_return core::ToStatus(
        core::Quarantined{ std::to_string(m_fingerprint) });
    }
  }
  const std::unique_ptr<routing::Ticket> ticket =
    m_forwarder.m_router->Choose(m_pool, m_tried, now);
  if (!ticket) {
    co_return core::ToStatus(
      core::NoUpstream{ m_pool->m_service.m_name.m_value });
  }
  m_tried.push_back(ticket->Index());
  http::Client& client = m_forwarder.m_clients->For(m_exchange.LoopIndex());
  http::Request request = ToUpstream();
  const http::Reuse reuse =
    m_facts.m_idempotent ? http::Reuse::Allowed : http::Reuse::Never;
  absl::StatusOr<std::unique_ptr<http::AnswerStream>> answer =
    co_await client.Open(ticket->Chosen().m_endpoint,
                         std::move(request),
                         reuse,
                         m_facts.m_deadline);
  if (!answer.ok()) {
    NoteFailure(*ticket, http::FailureOf(answer.status()));
    co_return answer.status();
  }
  if (SaysNotRun((*answer)->Head())) {
    co_return core::ToStatus(
      core::PeerRefused{ http::ToText(ticket->Chosen().m_endpoint),
                         (*answer)->Head().m_status,
                         core::Executed::No });
  }
  if (m_exchange.HasBegun() && !IsResumable((*answer)->Head())) {
    co_return core::ToStatus(
      core::PeerRefused{ http::ToText(ticket->Chosen().m_endpoint),
                         (*answer)->Head().m_status,
                         core::Executed::Unknown });
  }
  const absl::Status relayed = co_await Relay(**answer);
  if (relayed.ok()) {
    NoteSuccess(*ticket);
  } else if (!m_callerGone) {
    NoteFailure(*ticket, http::FailureOf(relayed));
  }
  co_return relayed;
}

asio::awaitable<absl::Status>
Call::Relay(http::AnswerStream& aAnswer)
{
  if (IsResumable(aAnswer.Head())) {
    return RelayGeneration(aAnswer);
  }
  const std::string_view length =
    http::FindHeader(aAnswer.Head().m_headers, "Content-Length");
  size_t bytes = 0;
  std::from_chars(length.data(), length.data() + length.size(), bytes);
  // An answer of known, small size is held until it is whole, so that a
  // truncated one can still be replaced by another upstream's.
  if (!length.empty() && bytes <= kWholeAnswerBytes) {
    return RelayWhole(aAnswer);
  }
  return RelayStream(aAnswer);
}

bool
Call::IsResumable(const http::AnswerHead& aHead) const
{
  return m_facts.m_idempotent && aHead.m_status == kOk &&
         std::holds_alternative<configuration::ModelEngines>(
           m_pool->m_service.m_kind) &&
         http::PathOf(m_exchange.Asked().m_target).ends_with(kGeneratePath);
}

asio::awaitable<absl::Status>
Call::RelayGeneration(http::AnswerStream& aAnswer)
{
  absl::Status sent = absl::OkStatus();
  if (!m_exchange.HasBegun()) {
    http::AnswerHead head;
    head.m_headers = EndToEnd(aAnswer.Head().m_headers);
    sent = co_await m_exchange.StartStream(std::move(head));
  }
  while (sent.ok() && !m_generation.HasEnded()) {
    absl::StatusOr<std::string_view> part =
      co_await aAnswer.Read(m_facts.m_deadline);
    if (part.ok() && part->empty()) {
      // The stream is over and its end mark has not come.
      part = core::ToStatus(core::TruncatedAnswer{ "upstream" });
    }
    if (!part.ok()) {
      m_generation.Break();
      co_return part.status();
    }
    sent = co_await m_exchange.Write(m_generation.Accept(*part));
  }
  if (sent.ok()) {
    sent = co_await m_exchange.Finish();
  }
  m_callerGone = !sent.ok();
  co_return sent;
}

asio::awaitable<absl::Status>
Call::RelayWhole(http::AnswerStream& aAnswer)
{
  http::Answer answer;
  answer.m_head.m_status = aAnswer.Head().m_status;
  answer.m_head.m_headers = EndToEnd(aAnswer.Head().m_headers);
  while (!aAnswer.HasEnded()) {
    const absl::StatusOr<std::string_view> part =
      co_await aAnswer.Read(m_facts.m_deadline);
    if (!part.ok()) {
      co_return part.status();
    }
    answer.m_body += *part;
  }
  m_progress.m_answerBegan = true;
  const absl::Status sent = co_await m_exchange.Respond(std::move(answer));
  m_callerGone = !sent.ok();
  co_return sent;
}

asio::awaitable<absl::Status>
Call::RelayStream(http::AnswerStream& aAnswer)
{
  http::AnswerHead head;
  head.m_status = aAnswer.Head().m_status;
  head.m_headers = EndToEnd(aAnswer.Head().m_headers);
  m_progress.m_answerBegan = true;
  absl::Status sent = co_await m_exchange.StartStream(std::move(head));
  while (sent.ok() && !aAnswer.HasEnded()) {
    const absl::StatusOr<std::string_view> part =
      co_await aAnswer.Read(m_facts.m_deadline);
    if (!part.ok()) {
      co_return part.status();
    }
    sent = co_await m_exchange.Write(*part);
  }
  if (sent.ok()) {
    sent = co_await m_exchange.Finish();
  }
  m_callerGone = !sent.ok();
  co_return sent;
}

void
Call::NoteFailure(routing::Ticket& aTicket, const core::Failure& aFailure)
{
  const core::Instant now = kernel::Now();
  aTicket.Failed(now);
  if (!core::MayHaveCrashed(aFailure)) {
    return;
  }
  const std::scoped_lock lock(m_meter->m_mutex);
  const bool refused = NoteBroken(m_meter->m_quarantine,
                                  QuarantinePolicy{},
                                  m_fingerprint,
                                  aTicket.Chosen().m_id,
                                  now);
  if (refused) {
    m_forwarder.m_context.Metrics().Get("forwarding.quarantined").Add();
  }
}

void
Call::NoteSuccess(routing::Ticket& aTicket)
{
  aTicket.Succeeded();
  const std::scoped_lock lock(m_meter->m_mutex);
  NoteAnswered(m_meter->m_quarantine, m_fingerprint);
}

} // namespace heatherdeal::forwarding
