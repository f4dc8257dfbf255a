#include "relay/relay.h"

#include "core/overloaded.h"
#include "http/exchange.h"
#include "kernel/eventlog.h"
#include "kernel/sleep.h"
#include "quarantine/fingerprint.h"
#include "relay/attemptlimit.h"
#include "relay/internal/callstate.h"
#include "relay/internal/peerrelay.h"

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

std::string
DescribeFingerprint(const CallOrigin& aOrigin)
{
  const auto fingerprint = FingerprintOf(aOrigin);
  return fingerprint ? quarantine::ToText(*fingerprint) : "";
}

} // namespace

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
