#include "weights/internal/orderdelivery.h"

#include "http/exchange.h"
#include "kernel/eventlog.h"
#include "kernel/sleep.h"
#include "weights/ordercodec.h"

namespace heatherdeal::weights {

namespace {

namespace asio = boost::asio;

// Engines respond to orders and to requests for reports at once, also while
// they load.
constexpr core::Duration kResponseTimeout = std::chrono::seconds(1);
// A load takes the better part of a second, and engines report its completion
// with a delay.
constexpr core::Duration kFirstPollDelay = std::chrono::milliseconds(950);
constexpr core::Duration kPollInterval = std::chrono::milliseconds(150);
// After this many polls without a report, the load of another engine may start.
constexpr uint32_t kMaxFailedPolls = 2;

core::Instant
ResponseDeadline(const OrderTask& aTask)
{
  return std::min(aTask.m_order.m_deadline, kernel::Now() + kResponseTimeout);
}

asio::awaitable<absl::StatusOr<EngineReport>>
FetchReport(http::Client& aClient, const OrderTask& aTask)
{
  http::Request request = CodecInUse().m_encodeReport(aTask.m_order.m_engine);
  const absl::StatusOr<http::Response> response =
    co_await aClient.Call(aTask.m_engineEndpoint,
                          std::move(request),
                          http::Reuse::Allowed,
                          ResponseDeadline(aTask));
  if (!response.ok()) {
    co_return response.status();
  }
  co_return CodecInUse().m_decodeReport(aTask.m_weightSet, *response);
}

asio::awaitable<OrderResponse>
SendOrder(http::Client& aClient,
          const OrderTask& aTask,
          std::optional<uint64_t> aExpectedOrderCount)
{
  const core::Instant sendBefore =
    aTask.m_permission->SendBefore(aTask.m_checksFencingToken);
  if (kernel::Now() >= sendBefore) {
    co_return OrderRefused{ core::DeadlineExceeded{ "order under the lease",
                                                    core::Executed::No } };
  }
  const OrderOrigin origin{ aTask.m_holder,
                            aTask.m_weightSet,
                            aExpectedOrderCount };
  http::Request request = CodecInUse().m_encodeOrder(aTask.m_order, origin);
  // The connection is closed when the lease expires, so that an order that is
  // held up on the way is not delivered under the next holder.
  const absl::StatusOr<http::Response> response =
    co_await aClient.Call(aTask.m_engineEndpoint,
                          std::move(request),
                          http::Reuse::Never,
                          std::min(sendBefore, ResponseDeadline(aTask)));
  if (!response.ok()) {
    co_return OrderRefused{ http::FailureOf(response.status()) };
  }
  co_return CodecInUse().m_decodeOrder(aTask.m_order, *response);
}

RollingUpdateEvent
MakeObserved(const OrderTask& aTask)
{
  return VersionObserved{ aTask.m_order.m_engine, aTask.m_order.m_version };
}

RollingUpdateEvent
MakeFailed(const OrderTask& aTask, core::Failure aFailure)
{
  return OrderFailed{ aTask.m_order.m_engine,
                      aTask.m_order.m_version,
                      std::move(aFailure) };
}

RollingUpdateEvent
MakeNotExecuted(const OrderTask& aTask)
{
  return MakeFailed(
    aTask,
    core::PeerRefused{ aTask.m_order.m_engine.m_value, 0, core::Executed::No });
}

/// Polls the engine until it reports the version, or until it is certain that
/// the engine is not loading it. aExpectedOrderCount is the engine's count of
/// orders before this one, if the response to this one was lost. Returns
/// nothing if the order's deadline passes.
asio::awaitable<std::optional<RollingUpdateEvent>>
PollUntilServed(http::Client& aClient,
                const OrderTask& aTask,
                std::optional<uint64_t> aUnansweredOrderCount)
{
  uint32_t failedPolls = 0;
  core::Instant nextPoll =
    kernel::Now() + (aUnansweredOrderCount ? kPollInterval : kFirstPollDelay);
  while (nextPoll < aTask.m_order.m_deadline) {
    co_await kernel::SleepUntil(nextPoll);
    const absl::StatusOr<EngineReport> report =
      co_await FetchReport(aClient, aTask);
    if (report.ok() && report->m_version >= aTask.m_order.m_version) {
      co_return MakeObserved(aTask);
    }
    failedPolls = report.ok() ? 0 : failedPolls + 1;
    // An order that arrives late is refused once another one with the same
    // expected count was accepted, so it can be sent again.
    const bool wasNotAccepted =
      report.ok() && !report->m_busy && aUnansweredOrderCount &&
      report->m_acceptedOrderCount == *aUnansweredOrderCount;
    if (wasNotAccepted || failedPolls >= kMaxFailedPolls) {
      co_return MakeNotExecuted(aTask);
    }
    nextPoll = kernel::Now() + kPollInterval;
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<RollingUpdateEvent>>
SendAndAwaitEffect(http::Client& aClient, const OrderTask& aTask)
{
  const bool mustPoll = CodecInUse().m_encodeReport != nullptr;
  std::optional<uint64_t> expectedOrderCount;
  if (mustPoll) {
    const absl::StatusOr<EngineReport> report =
      co_await FetchReport(aClient, aTask);
    if (!report.ok() || report->m_busy) {
      co_return MakeNotExecuted(aTask);
    }
    if (report->m_version >= aTask.m_order.m_version) {
      co_return MakeObserved(aTask);
    }
    expectedOrderCount = report->m_acceptedOrderCount;
  }
  const OrderResponse response =
    co_await SendOrder(aClient, aTask, expectedOrderCount);
  if (std::holds_alternative<AlreadyServing>(response)) {
    co_return MakeObserved(aTask);
  }
  const auto* refused = std::get_if<OrderRefused>(&response);
  const bool isOutcomeKnown =
    refused != nullptr &&
    core::ExecutedOf(refused->m_failure) == core::Executed::No;
  if (refused != nullptr && (isOutcomeKnown || !mustPoll)) {
    co_return MakeFailed(aTask, refused->m_failure);
  }
  if (!mustPoll) {
    co_return std::nullopt;
  }
  co_return co_await PollUntilServed(
    aClient, aTask, refused == nullptr ? std::nullopt : expectedOrderCount);
}

void
LogOutcome(const OrderTask& aTask, const RollingUpdateEvent& aOutcome)
{
  const LoadOrder& order = aTask.m_order;
  const auto* failed = std::get_if<OrderFailed>(&aOutcome);
  kernel::LogEvent(
    kernel::LogLevel::Info,
    "weights",
    "order",
    { { "engine", order.m_engine.m_value },
      { "version", order.m_version.m_number },
      { "fence", order.m_fence },
      { "outcome",
        failed == nullptr ? "carried-out"
                          : core::Describe(failed->m_failure) } });
}

} // namespace

asio::awaitable<void>
DeliverOrder(http::Client& aClient, OrderTask aTask, OrderCallback aDone)
{
  const std::optional<RollingUpdateEvent> outcome =
    co_await SendAndAwaitEffect(aClient, aTask);
  if (outcome) {
    LogOutcome(aTask, *outcome);
    aDone(*outcome);
  }
}

} // namespace heatherdeal::weights
