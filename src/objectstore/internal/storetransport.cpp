#include "objectstore/internal/storetransport.h"

#include "core/failure.h"
#include "kernel/eventlog.h"

namespace heatherdeal::objectstore {

namespace {

namespace asio = boost::asio;

constexpr uint32_t kTooManyRequests = 429;
constexpr uint32_t kUnavailable = 503;
constexpr std::string_view kRelayTarget = "/objectstore/relay";
constexpr std::string_view kMethodHeader = "X-Heatherdeal-Method";
constexpr std::string_view kTargetHeader = "X-Heatherdeal-Target";
constexpr std::string_view kRelayFailedHeader = "X-Heatherdeal-Relay-Failed";
// Timeouts of one direct and one relayed call.
constexpr core::Duration kDirectCallTimeout = std::chrono::milliseconds(700);
constexpr core::Duration kRelayedCallTimeout = std::chrono::milliseconds(900);
// Delays before the direct path and the relays are tried again after a failure.
constexpr core::Duration kDirectRetryDelay = std::chrono::milliseconds(1500);
constexpr core::Duration kRelayRetryDelay = std::chrono::milliseconds(700);
constexpr size_t kMaxRelaysTried = 2;
// Time between two probes of the store by one host.
constexpr core::Duration kProbeInterval = std::chrono::seconds(2);

/// True if the store processed the request, whether it succeeded or not.
bool
IsDefinitiveResponse(const absl::StatusOr<http::Response>& aResponse)
{
  return aResponse.ok() && aResponse->m_head.m_status != kUnavailable &&
         aResponse->m_head.m_status != kTooManyRequests;
}

/// Returns the outcome of a call that was sent twice: the later response if it
/// is definitive, else a failure that says whether either try may have been
/// executed.
absl::StatusOr<http::Response>
CombineTries(absl::StatusOr<http::Response> aEarlier,
             absl::StatusOr<http::Response> aLater)
{
  const bool earlierMayBeExecuted =
    !aEarlier.ok() && core::MayHaveBeenExecuted(aEarlier.status());
  if (!IsDefinitiveResponse(aLater) && earlierMayBeExecuted) {
    return aEarlier;
  }
  return aLater;
}

/// Returns the response to a call that was sent once. If it was sent before, a
/// response that rejects it says nothing about the first time.
absl::StatusOr<http::Response>
CheckSecondTry(absl::StatusOr<http::Response> aResponse)
{
  const bool isRejection = aResponse.ok() && !IsDefinitiveResponse(aResponse);
  if (isRejection && aResponse->m_head.m_isOfSecondTry) {
    return core::ToStatus(
      core::ConnectionFailed{ "store", core::Executed::Unknown });
  }
  return aResponse;
}

/// Wraps a request so that another host forwards it to the store.
http::Request
WrapForRelay(const http::Request& aRequest)
{
  http::Request relayed;
  relayed.m_method = "POST";
  relayed.m_target = kRelayTarget;
  relayed.m_headers.push_back(
    { std::string(kMethodHeader), aRequest.m_method });
  relayed.m_headers.push_back(
    { std::string(kTargetHeader), aRequest.m_target });
  relayed.m_body = aRequest.m_body;
  return relayed;
}

} // namespace

StoreTransport::StoreTransport(kernel::Context& aContext,
                               http::Client& aClient,
                               std::vector<core::Endpoint> aEndpoints)
  : m_context(aContext)
  , m_client(aClient)
  , m_endpoints(std::move(aEndpoints))
{
}

void
StoreTransport::SetCallRelays(std::vector<core::Endpoint> aRelays)
{
  m_relays.Publish(std::move(aRelays));
}

bool
StoreTransport::IsDirectSuspended() const
{
  return kernel::Now() < m_directRetryAt;
}

bool
StoreTransport::TryStartProbe()
{
  const core::Instant now = kernel::Now();
  if (now < m_nextProbeAt) {
    return false;
  }
  m_nextProbeAt = now + kProbeInterval;
  return true;
}

asio::awaitable<absl::StatusOr<http::Response>>
StoreTransport::SendDirect(const http::Request& aRequest,
                           core::Instant aDeadline)
{
  const core::Endpoint endpoint =
    m_endpoints[m_nextEndpoint++ % m_endpoints.size()];
  http::Request request = aRequest;
  const core::Instant sentAt = kernel::Now();
  absl::StatusOr<http::Response> received = co_await m_client.Call(
    endpoint, std::move(request), http::Reuse::Allowed, aDeadline);
  absl::StatusOr<http::Response> response = CheckSecondTry(std::move(received));
  m_context.Metrics().Latency("objectstore.call").Add(kernel::Now() - sentAt);
  RecordAnswer(response);
  const std::string outcome =
    response.ok() ? std::to_string(response->m_head.m_status) : "unanswered";
  m_context.Metrics().Get("objectstore.answer_" + outcome).Add();
  co_return response;
}

void
StoreTransport::RecordAnswer(const absl::StatusOr<http::Response>& aResponse)
{
  if (!aResponse.ok()) {
    m_isSilent = true;
    return;
  }
  const bool hasRecovered =
    IsDefinitiveResponse(aResponse) && std::exchange(m_isSilent, false);
  if (!hasRecovered) {
    return;
  }
  for (const std::function<void()>& onRecovered : m_onRecovered) {
    onRecovered();
  }
}

asio::awaitable<absl::StatusOr<http::Response>>
StoreTransport::SendViaRelays(const http::Request& aRequest,
                              core::Instant aDeadline)
{
  absl::StatusOr<http::Response> response =
    core::ToStatus(core::NoUpstream{ "store" });
  const auto relays = m_relays.Read();
  const size_t relayCount = std::min(kMaxRelaysTried, relays->size());
  for (size_t i = 0; i < relayCount; ++i) {
    const core::Endpoint relay = (*relays)[m_nextRelay++ % relays->size()];
    const core::Instant attemptDeadline =
      std::min(aDeadline, kernel::Now() + kRelayedCallTimeout);
    http::Request request = WrapForRelay(aRequest);
    absl::StatusOr<http::Response> received = co_await m_client.Call(
      relay, std::move(request), http::Reuse::Allowed, attemptDeadline);
    absl::StatusOr<http::Response> relayed =
      CheckSecondTry(std::move(received));
    const bool relayFailed =
      relayed.ok() &&
      !http::FindHeader(relayed->m_head.m_headers, kRelayFailedHeader).empty();
    if (relayFailed) {
      relayed = core::ToStatus(
        core::ConnectionFailed{ "store", core::Executed::Unknown });
    }
    response = CombineTries(std::move(response), std::move(relayed));
    if (IsDefinitiveResponse(response)) {
      m_context.Metrics().Get("objectstore.calls_relayed").Add();
      co_return response;
    }
  }
  m_relayRetryAt = kernel::Now() + kRelayRetryDelay;
  co_return response;
}

asio::awaitable<absl::StatusOr<http::Response>>
StoreTransport::Send(http::Request aRequest, core::Instant aDeadline)
{
  const auto relays = m_relays.Read();
  absl::StatusOr<http::Response> directResponse =
    core::ToStatus(core::NoUpstream{ "store" });
  if (!IsDirectSuspended() || relays->empty()) {
    const core::Instant attemptDeadline =
      relays->empty() ? aDeadline
                      : std::min(aDeadline, kernel::Now() + kDirectCallTimeout);
    directResponse = co_await SendDirect(aRequest, attemptDeadline);
    if (IsDefinitiveResponse(directResponse)) {
      co_return directResponse;
    }
    m_directRetryAt = kernel::Now() + kDirectRetryDelay;
    kernel::LogEvent(kernel::LogLevel::Info,
                     "objectstore",
                     "store-turns-away",
                     { { "method", aRequest.m_method },
                       { "reason",
                         directResponse.ok()
                           ? std::to_string(directResponse->m_head.m_status)
                           : http::DescribeStatus(directResponse.status()) } });
  }
  if (relays->empty() || kernel::Now() < m_relayRetryAt) {
    co_return directResponse;
  }
  absl::StatusOr<http::Response> relayedResponse =
    co_await SendViaRelays(aRequest, aDeadline);
  co_return CombineTries(std::move(directResponse), std::move(relayedResponse));
}

asio::awaitable<void>
StoreTransport::ForwardRelayedCall(http::Exchange& aExchange)
{
  const http::Request& originalRequest = aExchange.ReceivedRequest();
  http::Request request;
  request.m_method = http::FindHeader(originalRequest.m_headers, kMethodHeader);
  request.m_target = http::FindHeader(originalRequest.m_headers, kTargetHeader);
  request.m_headers.push_back({ "Content-Type", "application/json" });
  request.m_body = originalRequest.m_body;
  const core::Instant attemptDeadline = kernel::Now() + kDirectCallTimeout;
  absl::StatusOr<http::Response> directResponse =
    co_await SendDirect(request, attemptDeadline);
  http::Response response;
  if (directResponse.ok()) {
    response.m_head.m_status = directResponse->m_head.m_status;
    response.m_body = std::move(directResponse->m_body);
  } else {
    response =
      http::MakeFailureResponse(http::FailureOf(directResponse.status()));
    response.m_head.m_headers.push_back(
      { std::string(kRelayFailedHeader), "1" });
  }
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

} // namespace heatherdeal::objectstore
