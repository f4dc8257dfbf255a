#include "http/client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/redirect_error.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/beast/http/read.hpp"
#include "boost/beast/http/span_body.hpp"
#include "boost/beast/http/write.hpp"

#include "core/failure.h"
#include "http/exchange.h"
#include "http/internal/pooledconnection.h"

namespace heatherdeal::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr unsigned kHttp11 = 11;
constexpr size_t kMaxIdleConnectionsPerPeer = 32;
constexpr core::Duration kDefaultIdleTimeout = std::chrono::seconds(20);
// The round trip to hosts and upstreams takes a few milliseconds.
constexpr core::Duration kConnectTimeout = std::chrono::milliseconds(400);
// Responses with informational status that a peer may send before the final
// one.
constexpr uint32_t kMaxInformationalResponses = 8;
constexpr uint32_t kFirstInformationalStatus = 100;
constexpr uint32_t kSwitchingProtocols = 101;
constexpr uint32_t kFirstFinalStatus = 200;
constexpr uint32_t kFirstInvalidStatus = 600;
// A peer that disappears without closing its connections is detected after
// about three seconds. The user timeout also decides when keep-alive probes
// give up, whatever their number, so that both are the same time.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr unsigned kTcpUserTimeoutMilliseconds =
  1000U *
  (kKeepAliveIdleSeconds + kKeepAliveIntervalSeconds * kKeepAliveProbes);

auto
RedirectError(boost::system::error_code& aError)
{
  return asio::redirect_error(asio::use_awaitable, aError);
}

absl::Status
FailureBeforeSending(const core::Endpoint& aPeer)
{
  return core::ToStatus(
    core::ConnectionFailed{ ToText(aPeer), core::Executed::No });
}

absl::Status
FailureAfterSending(const core::Endpoint& aPeer,
                    boost::system::error_code aError)
{
  if (aError == beast::error::timeout) {
    return core::ToStatus(
      core::DeadlineExceeded{ ToText(aPeer), core::Executed::Unknown });
  }
  return core::ToStatus(
    core::ConnectionFailed{ ToText(aPeer), core::Executed::Unknown });
}

/// Configures TCP keep-alive and the TCP user timeout, so that the operating
/// system closes a connection whose peer has disappeared.
void
EnableDeadPeerDetection(asio::ip::tcp::socket& aSocket)
{
  using asio::detail::socket_option::integer;
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  aSocket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(kKeepAliveIdleSeconds),
                     ignored);
  aSocket.set_option(
    integer<IPPROTO_TCP, TCP_KEEPINTVL>(kKeepAliveIntervalSeconds), ignored);
  aSocket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(kKeepAliveProbes),
                     ignored);
  aSocket.set_option(
    integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(kTcpUserTimeoutMilliseconds),
    ignored);
}

/// False if the peer has closed the idle connection or sent unexpected bytes.
bool
IsReusable(PooledConnection& aConnection)
{
  char byte = 0;
  const ssize_t peekedBytes =
    ::recv(aConnection.m_stream.socket().native_handle(),
           &byte,
           1,
           MSG_PEEK | MSG_DONTWAIT);
  return peekedBytes < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Returns the failure of a request that an idle connection has already carried
/// to the peer, which may have executed it before this second try failed.
absl::Status
FailureOfSecondTry(const core::Endpoint& aPeer, const absl::Status& aStatus)
{
  if (core::ExecutedOf(FailureOf(aStatus)) != core::Executed::No) {
    return aStatus;
  }
  return core::ToStatus(
    core::ConnectionFailed{ ToText(aPeer), core::Executed::Unknown });
}

asio::awaitable<absl::Status>
Connect(PooledConnection& aConnection, core::Instant aDeadline)
{
  boost::system::error_code error;
  const auto address =
    asio::ip::make_address(aConnection.m_peer.m_address, error);
  if (error) {
    co_return FailureBeforeSending(aConnection.m_peer);
  }
  const asio::ip::tcp::endpoint endpoint(address, aConnection.m_peer.m_port);
  const core::Instant connectDeadline =
    std::min(aDeadline, kernel::Now() + kConnectTimeout);
  aConnection.m_stream.expires_at(kernel::ToSteady(connectDeadline));
  co_await aConnection.m_stream.async_connect(endpoint, RedirectError(error));
  if (error) {
    co_return FailureBeforeSending(aConnection.m_peer);
  }
  aConnection.m_stream.socket().set_option(asio::ip::tcp::no_delay(true),
                                           error);
  EnableDeadPeerDetection(aConnection.m_stream.socket());
  co_return absl::OkStatus();
}

/// Returns a message that refers to the body of aRequest.
beast::http::request<beast::http::span_body<const char>>
ToBeastRequest(const Request& aRequest, const core::Endpoint& aPeer)
{
  beast::http::request<beast::http::span_body<const char>> message;
  message.version(kHttp11);
  message.method_string(aRequest.m_method);
  message.target(aRequest.m_target);
  message.set(beast::http::field::host, ToText(aPeer));
  for (const Header& header : aRequest.m_headers) {
    if (beast::iequals(header.m_name, "Host")) {
      message.set(header.m_name, header.m_value);
    } else {
      message.insert(header.m_name, header.m_value);
    }
  }
  const std::string_view body = aRequest.m_body;
  message.body() = { body.data(), body.size() };
  message.prepare_payload();
  return message;
}

/// Returns how long the peer keeps an idle connection open, minus a margin for
/// requests in flight, or nullopt if its Keep-Alive header names no timeout.
std::optional<core::Duration>
ParseIdleTimeout(const beast::http::response_header<>& aHeader)
{
  constexpr std::string_view kTimeoutParameter = "timeout=";
  const auto field = aHeader["Keep-Alive"];
  const std::string_view value(field.data(), field.size());
  const size_t begin = value.find(kTimeoutParameter);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string digits(value.substr(begin + kTimeoutParameter.size()));
  const core::Duration peerTimeout =
    std::chrono::seconds(std::strtol(digits.c_str(), nullptr, 10));
  const core::Duration margin = std::chrono::milliseconds(500);
  return std::max(core::Duration::zero(), peerTimeout - margin);
}

ResponseHead
ToResponseHead(const beast::http::response_header<>& aHeader, bool aIsUsed)
{
  ResponseHead head;
  head.m_isOnUsedConnection = aIsUsed;
  head.m_status = aHeader.result_int();
  for (const auto& field : aHeader) {
    head.m_headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  return head;
}

/// True if the head with this status ends the response's heads.
bool
IsFinalStatus(uint32_t aStatus)
{
  return aStatus >= kFirstFinalStatus && aStatus < kFirstInvalidStatus;
}

/// True if a final head follows the one with this status. No request of this
/// client asks to switch protocols.
bool
IsInformationalStatus(uint32_t aStatus)
{
  return aStatus >= kFirstInformationalStatus && aStatus < kFirstFinalStatus &&
         aStatus != kSwitchingProtocols;
}

/// Sends the request and reads the head of its response. Bytes with a status
/// that HTTP does not have are no response, whatever follows them.
asio::awaitable<absl::StatusOr<ResponseHead>>
SendRequestAndReadHead(PooledConnection& aConnection,
                       const Request& aRequest,
                       core::Instant aDeadline)
{
  // The process may have been paused since the caller checked the time.
  if (kernel::Now() >= aDeadline) {
    co_return core::ToStatus(
      core::DeadlineExceeded{ ToText(aConnection.m_peer), core::Executed::No });
  }
  auto message = ToBeastRequest(aRequest, aConnection.m_peer);
  aConnection.RememberId(aRequest.m_repeatedId);
  boost::system::error_code error;
  aConnection.m_stream.expires_at(kernel::ToSteady(aDeadline));
  co_await beast::http::async_write(
    aConnection.m_stream, message, RedirectError(error));
  if (error) {
    co_return FailureAfterSending(aConnection.m_peer, error);
  }
  for (uint32_t i = 0; i <= kMaxInformationalResponses; ++i) {
    aConnection.m_parser.emplace();
    // Whoever reads the body limits its size.
    aConnection.m_parser->body_limit(boost::none);
    aConnection.m_parser->skip(aRequest.m_method == "HEAD");
    co_await beast::http::async_read_header(aConnection.m_stream,
                                            aConnection.m_buffer,
                                            *aConnection.m_parser,
                                            RedirectError(error));
    if (error) {
      co_return FailureAfterSending(aConnection.m_peer, error);
    }
    const uint32_t status = aConnection.m_parser->get().result_int();
    if (IsFinalStatus(status)) {
      co_return ToResponseHead(aConnection.m_parser->get(),
                               std::exchange(aConnection.m_isUsed, true));
    }
    if (!IsInformationalStatus(status)) {
      break;
    }
  }
  co_return core::ToStatus(core::ConnectionFailed{ ToText(aConnection.m_peer),
                                                   core::Executed::Unknown });
}

} // namespace

asio::awaitable<bool>
CanConnect(core::Endpoint aPeer, core::Instant aDeadline)
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aPeer.m_address, error);
  if (error) {
    co_return false;
  }
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_at(kernel::ToSteady(aDeadline));
  co_await stream.async_connect(asio::ip::tcp::endpoint(address, aPeer.m_port),
                                RedirectError(error));
  co_return !error;
}

std::string
ToText(const core::Endpoint& aEndpoint)
{
  return aEndpoint.m_address + ":" + std::to_string(aEndpoint.m_port);
}

Client::Client(kernel::Context& aContext,
               size_t aLoopIndex,
               std::shared_ptr<ResponseMemory> aMemory,
               std::shared_ptr<ProcessBudget> aBudget)
  : m_context(aContext)
  , m_loopIndex(aLoopIndex)
  , m_memory(std::move(aMemory))
  , m_budget(std::move(aBudget))
{
}

Client::~Client() = default;

std::unique_ptr<PooledConnection>
Client::TakeIdleConnection(const core::Endpoint& aPeer,
                           std::string_view aRepeatedId)
{
  const auto found = m_idleConnections.find(aPeer);
  if (found == m_idleConnections.end()) {
    return nullptr;
  }
  auto& idle = found->second;
  const auto mayCarry = [aRepeatedId](const auto& aConnection) {
    const auto& ids = aConnection->m_carriedIds;
    return aRepeatedId.empty() ||
           std::ranges::find(ids, aRepeatedId) == ids.end();
  };
  for (;;) {
    const auto last = std::find_if(idle.rbegin(), idle.rend(), mayCarry);
    if (last == idle.rend()) {
      return nullptr;
    }
    std::unique_ptr<PooledConnection> connection = std::move(*last);
    idle.erase(std::next(last).base());
    if (connection->m_reusableUntil > kernel::Now() &&
        IsReusable(*connection)) {
      return connection;
    }
  }
}

void
Client::ReturnConnection(std::unique_ptr<PooledConnection> aConnection)
{
  auto& idle = m_idleConnections[aConnection->m_peer];
  const std::optional<core::Duration> idleTimeout =
    ParseIdleTimeout(aConnection->m_parser->get());
  if (idle.size() >= kMaxIdleConnectionsPerPeer ||
      idleTimeout == core::Duration::zero() || !m_budget->MayPoolOutgoing()) {
    return;
  }
  aConnection->m_parser.reset();
  aConnection->m_stream.expires_never();
  aConnection->m_reusableUntil =
    kernel::Now() + idleTimeout.value_or(kDefaultIdleTimeout);
  idle.push_back(std::move(aConnection));
}

namespace {

/// Attaches the stream of a connection to a CallAbort for the lifetime of the
/// scope.
class AbortScope
{
public:
  AbortScope(CallAbort* aAbort, PooledConnection& aConnection)
    : m_abort(aAbort)
  {
    if (m_abort != nullptr) {
      m_abort->AttachStream(&aConnection.m_stream);
    }
  }
  ~AbortScope()
  {
    if (m_abort != nullptr) {
      m_abort->AttachStream(nullptr);
    }
  }
  AbortScope(const AbortScope&) = delete;
  AbortScope& operator=(const AbortScope&) = delete;

  /// Leaves the stream attached, because the ResponseStream detaches it.
  void Release() { m_abort = nullptr; }

private:
  CallAbort* m_abort;
};

} // namespace

asio::awaitable<absl::StatusOr<std::unique_ptr<ResponseStream>>>
Client::OpenStream(core::Endpoint aPeer,
                   Request aRequest,
                   Reuse aReuse,
                   core::Instant aDeadline,
                   std::shared_ptr<CallAbort> aAbort)
{
  std::unique_ptr<PooledConnection> idle =
    aReuse == Reuse::Allowed ? TakeIdleConnection(aPeer, aRequest.m_repeatedId)
                             : nullptr;
  if (!idle) {
    co_return co_await OpenOnNewConnection(
      std::move(aPeer), std::move(aRequest), aDeadline, std::move(aAbort));
  }
  {
    AbortScope scope(aAbort.get(), *idle);
    absl::StatusOr<ResponseHead> head =
      co_await SendRequestAndReadHead(*idle, aRequest, aDeadline);
    if (head.ok()) {
      scope.Release();
      co_return std::make_unique<ResponseStream>(
        std::move(idle), *std::move(head), aAbort);
    }
    if (absl::IsDeadlineExceeded(head.status())) {
      co_return head.status();
    }
  }
  // The peer may have closed the idle connection, so try a new one.
  m_context.Metrics().Get("http.idle_connection_dead").Add();
  auto opened = co_await OpenOnNewConnection(
    aPeer, std::move(aRequest), aDeadline, std::move(aAbort));
  if (!opened.ok()) {
    co_return FailureOfSecondTry(aPeer, opened.status());
  }
  (*opened)->MarkSecondTry();
  co_return opened;
}

asio::awaitable<absl::StatusOr<std::unique_ptr<ResponseStream>>>
Client::OpenOnNewConnection(core::Endpoint aPeer,
                            Request aRequest,
                            core::Instant aDeadline,
                            std::shared_ptr<CallAbort> aAbort)
{
  if (aAbort && aAbort->IsAbortRequested()) {
    co_return FailureBeforeSending(aPeer);
  }
  auto connection = std::make_unique<PooledConnection>(
    *this, m_context.Traffic().Loop(m_loopIndex), aPeer);
  AbortScope scope(aAbort.get(), *connection);
  const absl::Status connectStatus = co_await Connect(*connection, aDeadline);
  if (!connectStatus.ok()) {
    co_return connectStatus;
  }
  absl::StatusOr<ResponseHead> head =
    co_await SendRequestAndReadHead(*connection, aRequest, aDeadline);
  if (!head.ok()) {
    co_return head.status();
  }
  scope.Release();
  co_return std::make_unique<ResponseStream>(
    std::move(connection), *std::move(head), aAbort);
}

asio::awaitable<absl::StatusOr<Response>>
Client::Call(core::Endpoint aPeer,
             Request aRequest,
             Reuse aReuse,
             core::Instant aDeadline,
             std::shared_ptr<CallAbort> aAbort)
{
  std::string peer = ToText(aPeer);
  absl::StatusOr<std::unique_ptr<ResponseStream>> stream =
    co_await OpenStream(std::move(aPeer),
                        std::move(aRequest),
                        aReuse,
                        aDeadline,
                        std::move(aAbort));
  if (!stream.ok()) {
    co_return stream.status();
  }
  Response response;
  response.m_head = (*stream)->Head();
  absl::StatusOr<ReceivedBody> body =
    co_await (*stream)->ReadBody(std::move(peer), aDeadline);
  if (!body.ok()) {
    co_return body.status();
  }
  response.m_body = std::move(body->m_bytes);
  response.m_reservation = std::move(body->m_reservation);
  co_return response;
}

Clients::Clients(kernel::Context& aContext, const ResponseLimits& aLimits)
{
  const auto memory = std::make_shared<ResponseMemory>(aLimits);
  auto budget = aContext.Get<ProcessBudget>();
  if (!budget) {
    budget = std::make_shared<ProcessBudget>(aContext.Metrics(),
                                             budget::BudgetLimits{});
  }
  for (size_t i = 0; i < aContext.Traffic().Count(); ++i) {
    m_clients.push_back(std::make_unique<Client>(aContext, i, memory, budget));
  }
}

} // namespace heatherdeal::http
