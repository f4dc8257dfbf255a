#include "relay/internal/peerrelay.h"

#include "configuration/activeconfiguration.h"
#include "kernel/eventlog.h"
#include "relay/attemptlimit.h"
#include "relay/internal/calldescription.h"

namespace heatherdeal::relay {

namespace {

namespace asio = boost::asio;

constexpr std::string_view kCallHeader = "X-Heatherdeal-Relayed-Call";
constexpr std::string_view kResultHeader = "X-Heatherdeal-Relay-Result";
constexpr std::string_view kUpstreamHeader = "X-Heatherdeal-Relay-Upstream";
constexpr std::string_view kServed = "served";
constexpr std::string_view kFailed = "failed";
constexpr std::string_view kCutOff = "cut-off";
constexpr std::string_view kTopicName = "cut-off";

CallDescription
Describe(const RoutedCall& aCall, uint64_t aGeneration, core::Instant aDeadline)
{
  CallDescription description;
  description.m_id = aCall.m_id;
  description.m_route = aCall.m_route.m_name;
  description.m_generation = aGeneration;
  description.m_timeLeftMs = std::clamp<int64_t>(
    kernel::Milliseconds(aDeadline - kernel::Now()), 0, kMaxTimeLeftMs);
  if (const auto* caller = std::get_if<CallerOrigin>(&aCall.m_origin)) {
    description.m_fingerprint = caller->m_fingerprint.m_value;
  }
  description.m_position = aCall.m_position;
  description.m_customer = aCall.m_customer;
  return description;
}

bool
IsOwnHeader(const http::Header& aHeader)
{
  return http::IsSameHeaderName(aHeader.m_name, kCallHeader) ||
         http::IsSameHeaderName(aHeader.m_name, kResultHeader) ||
         http::IsSameHeaderName(aHeader.m_name, kUpstreamHeader);
}

http::Request
MakeRequest(const RoutedCall& aCall, const CallDescription& aDescription)
{
  http::Request request = aCall.m_request;
  request.m_target.insert(0, kPeerPath.substr(0, kPeerPath.size() - 1));
  std::erase_if(request.m_headers, IsOwnHeader);
  request.m_headers.push_back(
    { std::string(kCallHeader), ToJson(aDescription) });
  return request;
}

/// Returns the call that another host has sent. Fails with NotFound if the
/// configuration of this host does not allow it.
absl::StatusOr<RoutedCall>
MakeCall(const http::Request& aRequest,
         const configuration::Document& aDocument)
{
  const auto description =
    ParseDescription(http::FindHeader(aRequest.m_headers, kCallHeader));
  if (!description.ok()) {
    return description.status();
  }
  const auto route = std::ranges::find(
    aDocument.m_routes, description->m_route, &configuration::Route::m_name);
  const bool isOutdated = aDocument.m_generation < description->m_generation;
  if (route == aDocument.m_routes.end() || isOutdated) {
    return core::ToStatus(core::NotFound{ description->m_route });
  }
  RoutedCall call;
  call.m_origin = BatchOrigin{};
  if (description->m_fingerprint != 0) {
    call.m_origin = CallerOrigin{ { description->m_fingerprint } };
  }
  call.m_position = description->m_position;
  call.m_customer = description->m_customer;
  call.m_route = *route;
  // The host that has sent the call decides on further attempts.
  call.m_route.m_maxAttempts = 1;
  call.m_request = aRequest;
  call.m_request.m_target.erase(0, kPeerPath.size() - 1);
  std::erase_if(call.m_request.m_headers, IsOwnHeader);
  call.m_request.m_headers =
    http::CopyEndToEndHeaders(call.m_request.m_headers);
  call.m_id = description->m_id;
  call.m_deadline =
    kernel::Now() + std::chrono::milliseconds(description->m_timeLeftMs);
  call.m_abort = std::make_shared<http::CallAbort>();
  call.m_mayDetour = false;
  return call;
}

http::Response
MakeFailedResponse(std::string_view aResult, const core::Failure& aFailure)
{
  http::Response response;
  response.m_head.m_headers = { { std::string(kResultHeader),
                                  std::string(aResult) } };
  response.m_body = core::EncodeFailure(aFailure);
  return response;
}

} // namespace

PeerRelay::PeerRelay(kernel::Context& aContext,
                     std::shared_ptr<const ReachMonitor> aReach)
  : m_context(aContext)
  , m_reach(std::move(aReach))
  , m_configuration(aContext.Get<configuration::ActiveConfiguration>())
  , m_hosts(aContext.Get<objectstore::Hosts>())
  , m_gossip(aContext.Get<gossip::Gossip>())
  , m_clients(aContext.Get<http::Clients>())
{
}

void
PeerRelay::Start()
{
  const auto self = shared_from_this();
  m_gossip->AddTopic({ std::string(kTopicName),
                       [self](size_t aMaxBytes) {
                         const std::string& host =
                           self->m_context.Self().m_host;
                         const bool isNews = self->m_reach->IsCutOff() &&
                                             host.size() <= aMaxBytes;
                         return isNews ? host : std::string();
                       },
                       [self](std::string_view aHost) {
                         self->RecordOutcome(aHost, PeerOutcome::Unreachable);
                       } });
}

std::optional<objectstore::HostEntry>
PeerRelay::ChoosePeer(std::span<const std::string> aTried,
                      uint64_t aSequence) const
{
  const auto hosts = m_hosts->Read();
  std::vector<PeerCandidate> candidates;
  std::vector<const objectstore::HostEntry*> entries;
  for (const objectstore::HostEntry& host : *hosts) {
    const bool isEntry = host.m_service == objectstore::kEntryRole;
    if ((isEntry || host.m_service == objectstore::kRolloutRole) &&
        host.m_name != m_context.Self().m_host &&
        m_gossip->IsAvailable(host.m_name)) {
      candidates.push_back({ host.m_name, isEntry });
      entries.push_back(&host);
    }
  }
  const std::scoped_lock lock(m_mutex);
  const std::optional<size_t> chosen =
    relay::ChoosePeer(m_peers, candidates, aTried, aSequence, kernel::Now());
  return chosen ? std::optional(*entries[*chosen]) : std::nullopt;
}

void
PeerRelay::RecordOutcome(std::string_view aPeer, PeerOutcome aOutcome)
{
  const std::scoped_lock lock(m_mutex);
  relay::RecordOutcome(m_peers, aPeer, aOutcome, kernel::Now());
}

asio::awaitable<absl::StatusOr<PeerResponse>>
PeerRelay::Send(size_t aLoopIndex,
                objectstore::HostEntry aPeer,
                const RoutedCall& aCall,
                core::Instant aDeadline)
{
  const CallDescription description =
    Describe(aCall, m_configuration->Read()->m_generation, aDeadline);
  const http::Reuse reuse = IsIdempotent(aCall.m_route.m_kind)
                              ? http::Reuse::Allowed
                              : http::Reuse::Never;
  absl::StatusOr<http::Response> response =
    co_await m_clients->ForLoop(aLoopIndex)
      .Call(aPeer.m_endpoint,
            MakeRequest(aCall, description),
            reuse,
            aDeadline,
            aCall.m_abort);
  if (!response.ok()) {
    RecordOutcome(aPeer.m_name, PeerOutcome::Unreachable);
    co_return response.status();
  }
  const std::string result(
    http::FindHeader(response->m_head.m_headers, kResultHeader));
  if (result == kServed) {
    RecordOutcome(aPeer.m_name, PeerOutcome::Reached);
    PeerResponse served;
    served.m_upstream.m_value =
      http::FindHeader(response->m_head.m_headers, kUpstreamHeader);
    served.m_response = *std::move(response);
    std::erase_if(served.m_response.m_head.m_headers, IsOwnHeader);
    co_return served;
  }
  if (result == kCutOff) {
    RecordOutcome(aPeer.m_name, PeerOutcome::Unreachable);
  }
  const auto failure = core::DecodeFailure(response->m_body);
  if (result.empty() || !failure) {
    co_return core::ToStatus(core::PeerRefused{
      aPeer.m_name, response->m_head.m_status, core::Executed::Unknown });
  }
  co_return core::ToStatus(*failure);
}

asio::awaitable<absl::StatusOr<RoutedResponse>>
PeerRelay::Execute(http::Exchange& aExchange, Relay& aRelay)
{
  if (m_reach->IsCutOff()) {
    co_return core::ToStatus(core::NoUpstream{ m_context.Self().m_host });
  }
  const auto document = m_configuration->Read();
  absl::StatusOr<RoutedCall> call =
    MakeCall(aExchange.ReceivedRequest(), *document);
  if (!call.ok()) {
    co_return call.status();
  }
  m_context.Metrics().Get("relay.calls_of_peers").Add();
  aExchange.NotifyOnDisconnect(
    [abort = call->m_abort] { abort->RequestAbort(); });
  co_return co_await aRelay.SendWithRetries(aExchange.LoopIndex(),
                                            *std::move(call));
}

asio::awaitable<void>
PeerRelay::Serve(http::Exchange& aExchange, Relay& aRelay)
{
  absl::StatusOr<RoutedResponse> response = co_await Execute(aExchange, aRelay);
  if (!response.ok()) {
    http::Response failed =
      MakeFailedResponse(m_reach->IsCutOff() ? kCutOff : kFailed,
                         http::FailureOf(response.status()));
    co_await aExchange.RespondIgnoringErrors(std::move(failed));
    co_return;
  }
  http::Response served = std::move(response->m_response);
  served.m_head.m_headers = http::CopyEndToEndHeaders(served.m_head.m_headers);
  std::erase_if(served.m_head.m_headers, IsOwnHeader);
  served.m_head.m_headers.push_back(
    { std::string(kResultHeader), std::string(kServed) });
  served.m_head.m_headers.push_back(
    { std::string(kUpstreamHeader), response->m_upstream.m_value });
  co_await aExchange.RespondIgnoringErrors(std::move(served));
}

} // namespace heatherdeal::relay
