#include "http/client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/redirect_error.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/beast/http/read.hpp"
#include "boost/beast/http/string_body.hpp"
#include "boost/beast/http/write.hpp"

#include "core/failure.h"
#include "http/internal/pooledconnection.h"

namespace heatherdeal::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr unsigned kHttp11 = 11;
constexpr size_t kIdlePerPeer = 32;
constexpr core::Duration kIdleTime = std::chrono::seconds(20);
// Hosts and upstreams are a few milliseconds away.
constexpr core::Duration kConnectTime = std::chrono::milliseconds(400);
constexpr uint64_t kMaxAnswerBytes = 256ULL * 1024 * 1024;
constexpr size_t kPartBytes = 16 * 1024;
// A peer that vanished without a reset is noticed after about three seconds.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr unsigned kUnacknowledgedMilliseconds = 3000;

auto
Redirect(boost::system::error_code& aError)
{
  return asio::redirect_error(asio::use_awaitable, aError);
}

absl::Status
FailedBeforeSending(const core::Endpoint& aPeer)
{
  return core::ToStatus(
    core::ConnectionFailed{ ToText(aPeer), core::Executed::No });
}

absl::Status
FailedAfterSending(const core::Endpoint& aPeer,
                   boost::system::error_code aError)
{
  if (aError == beast::error::timeout) {
    return core::ToStatus(
      core::DeadlineExceeded{ ToText(aPeer), core::Executed::Unknown });
  }
  return core::ToStatus(
    core::ConnectionFailed{ ToText(aPeer), core::Executed::Unknown });
}

/// Lets the kernel end a connection whose peer has vanished.
void
DetectDeadPeer(asio::ip::tcp::socket& aSocket)
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
    integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(kUnacknowledgedMilliseconds),
    ignored);
}

/// False if the peer has closed the connection or sent what nobody asked for.
bool
IsQuiet(PooledConnection& aConnection)
{
  char byte = 0;
  const ssize_t got = ::recv(aConnection.m_stream.socket().native_handle(),
                             &byte,
                             1,
                             MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

asio::awaitable<absl::Status>
Connect(PooledConnection& aConnection, core::Instant aDeadline)
{
  boost::system::error_code error;
  const auto address =
    asio::ip::make_address(aConnection.m_peer.m_address, error);
  if (error) {
    co_return FailedBeforeSending(aConnection.m_peer);
  }
  const asio::ip::tcp::endpoint endpoint(address, aConnection.m_peer.m_port);
  const core::Instant limit = std::min(aDeadline, kernel::Now() + kConnectTime);
  aConnection.m_stream.expires_at(kernel::ToSteady(limit));
  co_await aConnection.m_stream.async_connect(endpoint, Redirect(error));
  if (error) {
    co_return FailedBeforeSending(aConnection.m_peer);
  }
  aConnection.m_stream.socket().set_option(asio::ip::tcp::no_delay(true),
                                           error);
  DetectDeadPeer(aConnection.m_stream.socket());
  co_return absl::OkStatus();
}

beast::http::request<beast::http::string_body>
ToMessage(const Request& aRequest, const core::Endpoint& aPeer)
{
  beast::http::request<beast::http::string_body> message;
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
  message.body() = aRequest.m_body;
  message.prepare_payload();
  return message;
}

/// How long the peer keeps the connection open when idle, less a margin for
/// what is under way; nothing if it does not say.
std::optional<core::Duration>
IdleTimeOf(const beast::http::response_header<>& aHeader)
{
  constexpr std::string_view kName = "timeout=";
  const auto field = aHeader["Keep-Alive"];
  const std::string_view value(field.data(), field.size());
  const size_t begin = value.find(kName);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string digits(value.substr(begin + kName.size()));
  const core::Duration offered =
    std::chrono::seconds(std::strtol(digits.c_str(), nullptr, 10));
  const core::Duration margin = std::chrono::milliseconds(500);
  return std::max(core::Duration::zero(), offered - margin);
}

AnswerHead
ToHead(const beast::http::response_header<>& aHeader)
{
  AnswerHead head;
  head.m_status = aHeader.result_int();
  for (const auto& field : aHeader) {
    head.m_headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  return head;
}

/// Sends the request and reads the head of its answer.
asio::awaitable<absl::StatusOr<AnswerHead>>
SendAndReadHead(PooledConnection& aConnection,
                const Request& aRequest,
                core::Instant aDeadline)
{
  auto message = ToMessage(aRequest, aConnection.m_peer);
  boost::system::error_code error;
  aConnection.m_stream.expires_at(kernel::ToSteady(aDeadline));
  co_await beast::http::async_write(
    aConnection.m_stream, message, Redirect(error));
  if (error) {
    co_return FailedAfterSending(aConnection.m_peer, error);
  }
  aConnection.m_parser.emplace();
  aConnection.m_parser->body_limit(kMaxAnswerBytes);
  aConnection.m_parser->skip(aRequest.m_method == "HEAD");
  co_await beast::http::async_read_header(aConnection.m_stream,
                                          aConnection.m_buffer,
                                          *aConnection.m_parser,
                                          Redirect(error));
  if (error) {
    co_return FailedAfterSending(aConnection.m_peer, error);
  }
  co_return ToHead(aConnection.m_parser->get());
}

} // namespace

std::string
ToText(const core::Endpoint& aEndpoint)
{
  return aEndpoint.m_address + ":" + std::to_string(aEndpoint.m_port);
}

AnswerStream::AnswerStream(std::unique_ptr<PooledConnection> aConnection,
                           AnswerHead aHead,
                           std::shared_ptr<CallAbort> aAbort)
  : m_connection(std::move(aConnection))
  , m_head(std::move(aHead))
  , m_abort(std::move(aAbort))
{
}

AnswerStream::~AnswerStream()
{
  if (m_abort) {
    m_abort->Attach(nullptr);
  }
  if (!m_abandoned && HasEnded() && m_connection->m_parser->keep_alive() &&
      m_connection->m_buffer.size() == 0) {
    Client& client = m_connection->m_client;
    client.GiveBack(std::move(m_connection));
  }
}

void
AnswerStream::Abandon()
{
  m_connection->m_stream.close();
  m_abandoned = true;
}

bool
AnswerStream::HasEnded() const
{
  return m_connection->m_parser->is_done();
}

asio::awaitable<absl::StatusOr<std::string_view>>
AnswerStream::Read(core::Instant aDeadline)
{
  auto& parser = *m_connection->m_parser;
  if (parser.is_done()) {
    co_return std::string_view();
  }
  m_part.resize(kPartBytes);
  auto& body = parser.get().body();
  body.data = m_part.data();
  body.size = m_part.size();
  boost::system::error_code error;
  m_connection->m_stream.expires_at(kernel::ToSteady(aDeadline));
  co_await beast::http::async_read_some(
    m_connection->m_stream, m_connection->m_buffer, parser, Redirect(error));
  if (error == beast::http::error::need_buffer) {
    error = {};
  }
  if (error == beast::error::timeout) {
    co_return core::ToStatus(core::DeadlineExceeded{
      ToText(m_connection->m_peer), core::Executed::Unknown });
  }
  if (error) {
    co_return core::ToStatus(
      core::TruncatedAnswer{ ToText(m_connection->m_peer) });
  }
  const size_t size = kPartBytes - body.size;
  if (size == 0 && !parser.is_done()) {
    co_return co_await Read(aDeadline);
  }
  co_return std::string_view(m_part.data(), size);
}

Client::Client(kernel::Context& aContext, size_t aLoopIndex)
  : m_context(aContext)
  , m_loopIndex(aLoopIndex)
{
}

Client::~Client() = default;

std::unique_ptr<PooledConnection>
Client::TakeIdle(const core::Endpoint& aPeer)
{
  const auto found = m_idle.find(aPeer);
  if (found == m_idle.end()) {
    return nullptr;
  }
  auto& idle = found->second;
  while (!idle.empty()) {
    std::unique_ptr<PooledConnection> connection = std::move(idle.back());
    idle.pop_back();
    if (connection->m_idleUntil > kernel::Now() && IsQuiet(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

void
Client::GiveBack(std::unique_ptr<PooledConnection> aConnection)
{
  auto& idle = m_idle[aConnection->m_peer];
  const std::optional<core::Duration> offered =
    IdleTimeOf(aConnection->m_parser->get());
  if (idle.size() >= kIdlePerPeer || offered == core::Duration::zero()) {
    return;
  }
  aConnection->m_parser.reset();
  aConnection->m_stream.expires_never();
  aConnection->m_idleUntil = kernel::Now() + offered.value_or(kIdleTime);
  idle.push_back(std::move(aConnection));
}

namespace {

/// Attaches a connection to what may abort its call.
class AbortScope
{
public:
  AbortScope(CallAbort* aAbort, PooledConnection& aConnection)
    : m_abort(aAbort)
  {
    if (m_abort != nullptr) {
      m_abort->Attach(&aConnection.m_stream);
    }
  }
  ~AbortScope()
  {
    if (m_abort != nullptr) {
      m_abort->Attach(nullptr);
    }
  }
  AbortScope(const AbortScope&) = delete;
  AbortScope& operator=(const AbortScope&) = delete;

  /// The answer's stream takes over.
  void Release() { m_abort = nullptr; }

private:
  CallAbort* m_abort;
};

} // namespace

asio::awaitable<absl::StatusOr<std::unique_ptr<AnswerStream>>>
Client::Open(core::Endpoint aPeer,
             Request aRequest,
             Reuse aReuse,
             core::Instant aDeadline,
             std::shared_ptr<CallAbort> aAbort)
{
  std::unique_ptr<PooledConnection> idle =
    aReuse == Reuse::Allowed ? TakeIdle(aPeer) : nullptr;
  if (idle) {
    AbortScope scope(aAbort.get(), *idle);
    absl::StatusOr<AnswerHead> head =
      co_await SendAndReadHead(*idle, aRequest, aDeadline);
    if (head.ok()) {
      scope.Release();
      co_return std::make_unique<AnswerStream>(
        std::move(idle), *std::move(head), aAbort);
    }
    if (absl::IsDeadlineExceeded(head.status())) {
      co_return head.status();
    }
    // The peer may have closed an idle connection; a new one decides.
    m_context.Metrics().Get("http.idle_connection_dead").Add();
  }
  if (aAbort && aAbort->IsRequested()) {
    co_return FailedBeforeSending(aPeer);
  }
  auto connection = std::make_unique<PooledConnection>(
    *this, m_context.Traffic().Loop(m_loopIndex), aPeer);
  AbortScope scope(aAbort.get(), *connection);
  const absl::Status connected = co_await Connect(*connection, aDeadline);
  if (!connected.ok()) {
    co_return connected;
  }
  absl::StatusOr<AnswerHead> head =
    co_await SendAndReadHead(*connection, aRequest, aDeadline);
  if (!head.ok()) {
    co_return head.status();
  }
  scope.Release();
  co_return std::make_unique<AnswerStream>(
    std::move(connection), *std::move(head), aAbort);
}

asio::awaitable<absl::StatusOr<Answer>>
Client::Call(core::Endpoint aPeer,
             Request aRequest,
             Reuse aReuse,
             core::Instant aDeadline,
             std::shared_ptr<CallAbort> aAbort)
{
  absl::StatusOr<std::unique_ptr<AnswerStream>> stream =
    co_await Open(std::move(aPeer),
                  std::move(aRequest),
                  aReuse,
                  aDeadline,
                  std::move(aAbort));
  if (!stream.ok()) {
    co_return stream.status();
  }
  Answer answer;
  answer.m_head = (*stream)->Head();
  while (!(*stream)->HasEnded()) {
    const absl::StatusOr<std::string_view> part =
      co_await (*stream)->Read(aDeadline);
    if (!part.ok()) {
      co_return part.status();
    }
    answer.m_body += *part;
  }
  co_return answer;
}

Clients::Clients(kernel::Context& aContext)
{
  for (size_t i = 0; i < aContext.Traffic().Count(); ++i) {
    m_clients.push_back(std::make_unique<Client>(aContext, i));
  }
}

} // namespace heatherdeal::http
