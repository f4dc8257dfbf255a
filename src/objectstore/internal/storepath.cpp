#include "objectstore/internal/storepath.h"

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
constexpr std::string_view kFailedHeader = "X-Heatherdeal-Relay-Failed";
constexpr core::Duration kStraightTime = std::chrono::milliseconds(700);
constexpr core::Duration kRelayTime = std::chrono::milliseconds(900);
constexpr core::Duration kStraightRest = std::chrono::milliseconds(1500);
constexpr core::Duration kPeersRest = std::chrono::milliseconds(700);
constexpr size_t kPeersTried = 2;

/// The store has decided on the request, for better or worse.
bool
IsDecided(const absl::StatusOr<http::Response>& aAnswer)
{
  return aAnswer.ok() && aAnswer->m_head.m_status != kUnavailable &&
         aAnswer->m_head.m_status != kTooManyRequests;
}

http::Request
ToRelay(const http::Request& aRequest)
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

StorePath::StorePath(kernel::Context& aContext,
                     http::Client& aClient,
                     std::vector<core::Endpoint> aEndpoints)
  : m_context(aContext)
  , m_client(aClient)
  , m_endpoints(std::move(aEndpoints))
{
}

void
StorePath::SetPeers(std::vector<core::Endpoint> aPeers)
{
  m_peers.Publish(std::move(aPeers));
}

asio::awaitable<absl::StatusOr<http::Response>>
StorePath::SendStraight(const http::Request& aRequest, core::Instant aDeadline)
{
  const core::Endpoint peer =
    m_endpoints[m_nextEndpoint++ % m_endpoints.size()];
  http::Request request = aRequest;
  const core::Instant sentAt = kernel::Now();
  absl::StatusOr<http::Response> answer = co_await m_client.Call(
    peer, std::move(request), http::Reuse::Allowed, aDeadline);
  m_context.Metrics().Latency("objectstore.call").Add(kernel::Now() - sentAt);
  const std::string outcome =
    answer.ok() ? std::to_string(answer->m_head.m_status) : "unanswered";
  m_context.Metrics().Get("objectstore.answer_" + outcome).Add();
  co_return answer;
}

asio::awaitable<absl::StatusOr<http::Response>>
StorePath::SendByPeers(const http::Request& aRequest, core::Instant aDeadline)
{
  absl::StatusOr<http::Response> answer =
    core::ToStatus(core::NoUpstream{ "store" });
  const auto peers = m_peers.Read();
  const size_t tries = std::min(kPeersTried, peers->size());
  for (size_t i = 0; i < tries; ++i) {
    const core::Endpoint peer = (*peers)[m_nextPeer++ % peers->size()];
    const core::Instant limit = std::min(aDeadline, kernel::Now() + kRelayTime);
    http::Request request = ToRelay(aRequest);
    answer = co_await m_client.Call(
      peer, std::move(request), http::Reuse::Allowed, limit);
    const bool failed =
      answer.ok() &&
      !http::FindHeader(answer->m_head.m_headers, kFailedHeader).empty();
    if (failed) {
      answer = core::ToStatus(
        core::ConnectionFailed{ "store", core::Executed::Unknown });
    }
    if (IsDecided(answer)) {
      m_context.Metrics().Get("objectstore.calls_relayed").Add();
      co_return answer;
    }
  }
  m_peersRestUntil = kernel::Now() + kPeersRest;
  co_return answer;
}

asio::awaitable<absl::StatusOr<http::Response>>
StorePath::Send(http::Request aRequest, core::Instant aDeadline)
{
  const auto peers = m_peers.Read();
  const bool straightRests = kernel::Now() < m_straightRestsUntil;
  absl::StatusOr<http::Response> straight =
    core::ToStatus(core::NoUpstream{ "store" });
  bool tried = false;
  if (!straightRests || peers->empty()) {
    tried = true;
    const core::Instant limit =
      peers->empty() ? aDeadline
                     : std::min(aDeadline, kernel::Now() + kStraightTime);
    straight = co_await SendStraight(aRequest, limit);
    if (IsDecided(straight)) {
      co_return straight;
    }
    m_straightRestsUntil = kernel::Now() + kStraightRest;
    kernel::LogEvent(
      kernel::LogLevel::Info,
      "objectstore",
      "store-turns-away",
      { { "method", aRequest.m_method },
        { "reason",
          straight.ok() ? std::to_string(straight->m_head.m_status)
                        : http::DescribeStatus(straight.status()) } });
  }
  if (peers->empty() || kernel::Now() < m_peersRestUntil) {
    co_return straight;
  }
  absl::StatusOr<http::Response> relayed =
    co_await SendByPeers(aRequest, aDeadline);
  // Doubt left by the straight way stays if the other way settles nothing.
  const bool keepStraight = tried && !IsDecided(relayed) && !straight.ok();
  if (keepStraight) {
    co_return straight;
  }
  co_return relayed;
}

asio::awaitable<void>
StorePath::Serve(http::Exchange& aExchange)
{
  const http::Request& asked = aExchange.ReceivedRequest();
  http::Request request;
  request.m_method = http::FindHeader(asked.m_headers, kMethodHeader);
  request.m_target = http::FindHeader(asked.m_headers, kTargetHeader);
  request.m_headers.push_back({ "Content-Type", "application/json" });
  request.m_body = asked.m_body;
  const core::Instant limit = kernel::Now() + kStraightTime;
  absl::StatusOr<http::Response> straight =
    co_await SendStraight(request, limit);
  http::Response answer;
  if (straight.ok()) {
    answer.m_head.m_status = straight->m_head.m_status;
    answer.m_body = std::move(straight->m_body);
  } else {
    answer = http::MakeFailureResponse(http::FailureOf(straight.status()));
    answer.m_head.m_headers.push_back({ std::string(kFailedHeader), "1" });
  }
  co_await aExchange.RespondIgnoringErrors(std::move(answer));
}

} // namespace heatherdeal::objectstore
