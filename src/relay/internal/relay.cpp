#include "relay/relay.h"

#include "core/overloaded.h"
#include "http/exchange.h"
#include "kernel/eventlog.h"
#include "kernel/sleep.h"
#include "relay/attemptlimit.h"

namespace heatherdeal::relay {

namespace {

namespace asio = boost::asio;

constexpr core::Duration kOfferPause = std::chrono::milliseconds(25);
// The answer still has to reach the caller.
constexpr core::Duration kAnswerMargin = std::chrono::milliseconds(10);
constexpr forwarding::RetryBudgetPolicy kRetryBudget{ 0.3, 20.0 };

bool
IsSuccess(uint32_t aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

core::Failure
NotRunBy(const routing::Ticket& aTicket, uint32_t aStatus)
{
  return core::PeerRefused{ aTicket.Chosen().m_id.m_value,
                            aStatus,
                            core::Executed::No };
}

void
NoteLoad(const routing::Ticket& aTicket, const LoadReport& aLoad)
{
  routing::UpstreamMeter& meter = *aTicket.Chosen().m_meter;
  meter.m_reported.store(aLoad.m_running + aLoad.m_waiting);
  meter.m_reportedAt.store(kernel::Now().time_since_epoch().count());
}

} // namespace

/// What has become of one call so far.
struct Relay::Progress
{
  forwarding::CallProgress m_progress;
  std::vector<size_t> m_tried;
  core::Instant m_offerUntil{};
  std::string m_upstream;
  uint32_t m_refusals = 0;
};

Relay::Relay(kernel::Context& aContext)
  : m_router(aContext.Get<routing::Router>())
  , m_clients(aContext.Get<http::Clients>())
{
}

asio::awaitable<absl::StatusOr<RoutedAnswer>>
Relay::ReadAnswer(http::ResponseStream& aStream,
                  const RoutedCall& aCall,
                  routing::Ticket& aTicket,
                  core::Instant aDeadline)
{
  const http::ResponseHead& head = aStream.Head();
  const Reception reception = CodecInUse().m_receive(head, aCall.m_id);
  if (reception.m_load) {
    NoteLoad(aTicket, *reception.m_load);
  }
  const auto* served = std::get_if<Served>(&reception.m_verdict);
  if (std::holds_alternative<ForeignAnswer>(reception.m_verdict)) {
    aStream.Abandon();
    co_return core::ToStatus(
      core::TruncatedResponse{ aTicket.Chosen().m_id.m_value });
  }
  if (served == nullptr) {
    co_return core::ToStatus(NotRunBy(aTicket, head.m_status));
  }
  if (IsSuccess(head.m_status) && served->m_proof.empty()) {
    aStream.Abandon();
    co_return core::ToStatus(
      core::TruncatedResponse{ aTicket.Chosen().m_id.m_value });
  }
  RoutedAnswer answer;
  answer.m_answer.m_head = head;
  answer.m_proof = served->m_proof;
  while (!aStream.HasEnded()) {
    const absl::StatusOr<std::string_view> part =
      co_await aStream.Read(aDeadline);
    if (!part.ok()) {
      co_return part.status();
    }
    answer.m_answer.m_body += *part;
  }
  co_return answer;
}

asio::awaitable<absl::StatusOr<RoutedAnswer>>
Relay::Attempt(size_t aLoopIndex, const RoutedCall& aCall, Progress& aProgress)
{
  const core::ServiceId& service =
    configuration::ServiceFor(aCall.m_route, m_tickets.fetch_add(1));
  const auto pool = m_router->Find(service.m_value);
  const core::Instant now = kernel::Now();
  std::unique_ptr<routing::Ticket> ticket =
    pool ? m_router->Choose(pool, aProgress.m_tried, now) : nullptr;
  if (!ticket) {
    co_return core::ToStatus(core::NoUpstream{ service.m_value });
  }
  aProgress.m_tried.push_back(ticket->Index());
  aProgress.m_upstream = ticket->Chosen().m_id.m_value;
  const core::Instant deadline = AttemptDeadline(
    aCall.m_route, aProgress.m_progress.m_attempts, now, aCall.m_deadline);
  http::Request request = aCall.m_request;
  Sending sending;
  sending.m_requestId = aCall.m_id;
  sending.m_upstream = ticket->Chosen().m_id;
  sending.m_timeLeft = deadline - now;
  CodecInUse().m_stamp(request, sending);
  const http::Reuse reuse = IsIdempotent(aCall.m_route.m_kind)
                              ? http::Reuse::Allowed
                              : http::Reuse::Never;
  auto opened =
    co_await m_clients->ForLoop(aLoopIndex)
      .OpenStream(
        ticket->Chosen().m_endpoint, request, reuse, deadline, aCall.m_abort);
  if (!opened.ok()) {
    ticket->Failed(kernel::Now());
    co_return opened.status();
  }
  const std::unique_ptr<http::ResponseStream> stream = *std::move(opened);
  absl::StatusOr<RoutedAnswer> answer =
    co_await ReadAnswer(*stream, aCall, *ticket, deadline);
  if (answer.ok()) {
    ticket->Succeeded();
  }
  co_return answer;
}

forwarding::NextStep
Relay::Decide(const RoutedCall& aCall,
              Progress& aProgress,
              const core::Failure& aFailure)
{
  const core::Instant now = kernel::Now();
  const bool refused = core::ExecutedOf(aFailure) == core::Executed::No;
  const bool none = std::holds_alternative<core::NoUpstream>(aFailure);
  // An upstream without room costs nothing but the time to ask another.
  if ((refused || none) && now < aProgress.m_offerUntil) {
    aProgress.m_refusals += 1;
    return forwarding::RetryCall{};
  }
  const forwarding::RetryConstraints facts{ IsIdempotent(aCall.m_route.m_kind),
                                            aCall.m_route.m_attempts,
                                            aCall.m_deadline };
  const std::scoped_lock lock(m_mutex);
  return forwarding::DecideAfterFailure(
    aProgress.m_progress, facts, m_budget, aFailure, now);
}

asio::awaitable<absl::StatusOr<RoutedAnswer>>
Relay::Run(size_t aLoopIndex, RoutedCall aCall)
{
  Progress progress;
  const core::Instant arrived = kernel::Now();
  progress.m_offerUntil = OfferUntil(aCall.m_route, arrived, aCall.m_deadline);
  {
    const std::scoped_lock lock(m_mutex);
    forwarding::CreditRetryBudget(m_budget, kRetryBudget);
  }
  aCall.m_deadline -= kAnswerMargin;
  for (;;) {
    absl::StatusOr<RoutedAnswer> answer =
      co_await Attempt(aLoopIndex, aCall, progress);
    const bool aborted = aCall.m_abort && aCall.m_abort->IsAbortRequested();
    if (answer.ok() || aborted) {
      co_return answer;
    }
    const core::Failure failure = http::FailureOf(answer.status());
    const forwarding::NextStep step = Decide(aCall, progress, failure);
    kernel::LogEvent(
      kernel::LogLevel::Info,
      "relay",
      "attempt-failed",
      { { "request", aCall.m_id },
        { "route", aCall.m_route.m_name },
        { "upstream", progress.m_upstream },
        { "attempts", progress.m_progress.m_attempts },
        { "refusals", progress.m_refusals },
        { "failure", core::Describe(failure) },
        { "age_ms", kernel::Milliseconds(kernel::Now() - arrived) },
        { "again", std::holds_alternative<forwarding::RetryCall>(step) } });
    if (const auto* give = std::get_if<forwarding::FailCall>(&step)) {
      co_return core::ToStatus(give->m_failure);
    }
    const bool none = std::holds_alternative<core::NoUpstream>(failure);
    if (none) {
      // Every upstream was asked: pause, then ask again from the first.
      progress.m_tried.clear();
      co_await kernel::SleepUntil(kernel::Now() + kOfferPause);
    }
  }
}

} // namespace heatherdeal::relay
