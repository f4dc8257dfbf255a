#include "http/internal/connection.h"

#include <sys/socket.h>

#include "boost/asio/post.hpp"
#include "boost/asio/redirect_error.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/beast/http/error.hpp"

#include "kernel/eventlog.h"
#include "kernel/sleep.h"

namespace heatherdeal::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr uint32_t kBadRequest = 400;
constexpr uint32_t kPayloadTooLarge = 413;
constexpr uint32_t kHeaderTooLarge = 431;
constexpr uint32_t kRequestTimeout = 408;
constexpr uint32_t kServiceUnavailable = 503;
// Coroutine frames, the parser and short headers.
constexpr uint64_t kConnectionBytes = 8UL * 1024;
// A header is held in the buffer, in the parser and in the request.
constexpr uint64_t kHeaderCopies = 3;
constexpr size_t kMinReadBytes = 1024;
constexpr size_t kBodyReadBytes = 16UL * 1024;
// How often a connection checks whether the budget has room again, and for how
// long. A connection that gives way frees its bytes as soon as its loop runs.
constexpr core::Duration kReservePause = std::chrono::milliseconds(20);
constexpr core::Duration kMaxReserveTime = std::chrono::milliseconds(300);
// What is discarded of a request that was rejected before it was read.
constexpr size_t kMaxDiscardedBytes = 1024UL * 1024;
constexpr core::Duration kDiscardTimeout = std::chrono::milliseconds(300);

/// Converts the error of a read. Returns nullopt if the caller has closed the
/// connection and expects no response.
std::optional<ReadFailure>
ToReadFailure(boost::system::error_code aError)
{
  using beast::http::error;
  if (aError == error::end_of_stream || aError == asio::error::eof ||
      aError == asio::error::connection_reset) {
    return std::nullopt;
  }
  if (aError == error::header_limit || aError == error::buffer_overflow) {
    return ReadFailure{ core::InvalidInput{ "header",
                                            "a header within the size limit" },
                        kHeaderTooLarge,
                        "http.header_too_large" };
  }
  if (aError == error::body_limit) {
    return ReadFailure{ core::InvalidInput{ "body",
                                            "a body within the size limit" },
                        kPayloadTooLarge,
                        "http.body_too_large" };
  }
  if (aError == error::partial_message) {
    return ReadFailure{ core::InvalidInput{ "body", "a complete request" },
                        kBadRequest,
                        "http.truncated_request" };
  }
  if (aError == beast::error::timeout) {
    return ReadFailure{ core::InvalidInput{
                          "request", "a complete request before the timeout" },
                        kRequestTimeout,
                        "http.slow_request" };
  }
  return ReadFailure{ core::InvalidInput{ "request",
                                          "a valid HTTP/1.1 request" },
                      kBadRequest,
                      "http.malformed_request" };
}

Request
ToRequestHead(const beast::http::request_header<>& aHeader)
{
  Request request;
  request.m_method = std::string(aHeader.method_string());
  request.m_target = std::string(aHeader.target());
  for (const auto& field : aHeader) {
    request.m_headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  return request;
}

ReadFailure
MakeBodyTooLarge()
{
  return *ToReadFailure(beast::http::error::body_limit);
}

ReadFailure
MakeOverBudget()
{
  return { core::Overload{ "memory for requests" },
           kServiceUnavailable,
           "http.request_over_budget" };
}

} // namespace

Connection::Connection(std::shared_ptr<Server> aServer,
                       beast::tcp_stream aStream,
                       size_t aLoopIndex)
  : m_server(std::move(aServer))
  , m_stream(std::move(aStream))
  , m_buffer(m_server->Settings().m_maxHeaderBytes + 4096)
  , m_ownBytes(m_server->Budget())
  , m_loopIndex(aLoopIndex)
  , m_giveWayTarget(std::make_shared<GiveWayTarget>(GiveWayTarget{ this }))
  , m_budgetSlot(std::make_unique<ProcessBudget::IncomingConnection>(
      m_server->Budget(),
      MakeGiveWayCallback()))
{
  m_server->OpenConnections().fetch_add(1);
}

Connection::~Connection()
{
  if (m_disconnectWatch) {
    m_disconnectWatch->m_active = false;
  }
  m_giveWayTarget->m_connection = nullptr;
  m_server->OpenConnections().fetch_sub(1);
}

std::function<void()>
Connection::MakeGiveWayCallback()
{
  return [executor = m_stream.get_executor(), target = m_giveWayTarget] {
    asio::post(executor, [target] {
      if (target->m_connection != nullptr) {
        target->m_connection->GiveWay();
      }
    });
  };
}

void
Connection::GiveWay()
{
  // A request whose handler has begun meanwhile is answered.
  if (m_budgetSlot->IsGivingWay()) {
    m_isGivingWay = true;
    m_stream.close();
  }
}

bool
Connection::IsDraining() const
{
  return m_server->Kernel().ProcessShutdown().IsRequested();
}

void
Connection::WatchForDisconnect(std::function<void()> aOnDisconnect)
{
  m_disconnectWatch = std::make_shared<DisconnectWatch>();
  m_disconnectWatch->m_onDisconnect = std::move(aOnDisconnect);
  m_stream.socket().async_wait(
    asio::ip::tcp::socket::wait_read,
    [watch = m_disconnectWatch, this](boost::system::error_code aError) {
      if (!watch->m_active || aError) {
        return;
      }
      char byte = 0;
      const ssize_t peekedBytes = ::recv(
        m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      // Received bytes may be the next request; only the end of the stream or
      // an error means that the caller has disconnected.
      const bool isOpen =
        peekedBytes > 0 || (peekedBytes < 0 && errno == EAGAIN);
      if (!isOpen) {
        watch->m_active = false;
        watch->m_onDisconnect();
      }
    });
}

asio::awaitable<void>
Connection::ServeRequests()
{
  while (co_await ServeNextRequest()) {
  }
  boost::system::error_code ignored;
  m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

asio::awaitable<bool>
Connection::ServeNextRequest()
{
  Parser parser;
  parser.header_limit(Settings().m_maxHeaderBytes);
  parser.body_limit(Settings().m_maxBodyBytes);
  boost::system::error_code error;
  m_budgetSlot->BeginActivity(budget::AwaitingRequest{});
  m_stream.expires_after(Settings().m_idleTimeout);
  if (m_buffer.size() == 0) {
    ReleaseBuffer();
    // Wait for the first byte without a shutdown hold, so that an idle
    // connection does not delay a shutdown.
    const size_t readBytes = co_await m_stream.async_read_some(
      m_buffer.prepare(kMinReadBytes),
      asio::redirect_error(asio::use_awaitable, error));
    m_buffer.commit(readBytes);
    if (error) {
      co_return false;
    }
  }
  const auto hold = m_server->Kernel().ProcessShutdown().Acquire();
  m_stream.expires_never();
  m_budgetSlot->BeginActivity(budget::ReadingRequest{});
  ReadResult result = co_await ReadRequest(parser);
  if (const auto* failure = std::get_if<ReadFailure>(&result)) {
    co_await RejectUnread(*failure);
    co_return false;
  }
  if (std::holds_alternative<CallerGone>(result)) {
    co_return false;
  }
  m_server->Kernel().Metrics().Get("http.requests").Add();
  m_budgetSlot->BeginActivity(budget::RunningRequest{});
  const bool keepAlive = parser.get().keep_alive() && !IsDraining();
  Exchange exchange(
    *this, std::get<Request>(std::move(result)), m_loopIndex, keepAlive);
  m_stream.expires_never();
  co_await CallHandler(exchange);
  if (m_disconnectWatch) {
    m_disconnectWatch->m_active = false;
    m_disconnectWatch.reset();
  }
  co_return exchange.HasResponseEnded() && exchange.ShouldKeepAlive();
}

Connection::ReadResult
Connection::ToResult(boost::system::error_code aError) const
{
  std::optional<ReadFailure> failure =
    m_isGivingWay ? std::nullopt : ToReadFailure(aError);
  return failure ? ReadResult(*std::move(failure)) : CallerGone{};
}

asio::awaitable<Connection::ReadResult>
Connection::ReadRequest(Parser& aParser)
{
  const ReadDeadline deadline(m_stream,
                              kernel::Now() + Settings().m_requestTimeout);
  while (!aParser.is_header_done()) {
    const boost::system::error_code error =
      co_await ReadSome(aParser, deadline);
    if (error) {
      co_return ToResult(error);
    }
    const uint64_t ownBytes =
      kConnectionBytes + kHeaderCopies * m_buffer.capacity();
    if (!co_await Reserve(m_ownBytes, ownBytes)) {
      co_return MakeOverBudget();
    }
  }
  Request head = ToRequestHead(aParser.get().base());
  co_return co_await ReadBody(aParser, std::move(head), deadline);
}

asio::awaitable<Connection::ReadResult>
Connection::ReadBody(Parser& aParser,
                     Request aHead,
                     const ReadDeadline& aDeadline)
{
  const Route* route = m_server->FindRoute(aHead.m_method, aHead.m_target);
  const BodyRule rule = route != nullptr && route->m_ruleForBody
                          ? route->m_ruleForBody(aHead)
                          : BodyRule{};
  const auto announced = aParser.content_length();
  if (announced && *announced > rule.m_maxBytes) {
    co_return MakeBodyTooLarge();
  }
  aParser.body_limit(std::min(rule.m_maxBytes, Settings().m_maxBodyBytes));
  aParser.eager(true);
  auto reservation = std::make_shared<Reservation>(m_server->Budget());
  const auto cost = [&](uint64_t aBytes) {
    return budget::CostOfBody(aBytes, announced.has_value(), rule.m_copies);
  };
  // An announced body is reserved as a whole, so that bodies that were admitted
  // do not take each other's room.
  if (!co_await Reserve(*reservation, cost(announced.value_or(0)))) {
    co_return MakeOverBudget();
  }
  while (!aParser.is_done()) {
    const boost::system::error_code error =
      co_await ReadSome(aParser, aDeadline);
    if (error) {
      co_return ToResult(error);
    }
    if (!announced &&
        !co_await Reserve(*reservation, cost(aParser.get().body().size()))) {
      co_return MakeOverBudget();
    }
  }
  std::string body = std::move(aParser.get().body());
  // Any buffers that the body has outgrown are free now.
  (void)reservation->TryResize(
    budget::CostOfBody(body.size(), true, rule.m_copies));
  if (!body.empty()) {
    aHead.m_body = Body(std::move(body), std::move(reservation));
  }
  co_return aHead;
}

asio::awaitable<boost::system::error_code>
Connection::ReadSome(Parser& aParser, const ReadDeadline& aDeadline)
{
  boost::system::error_code error;
  if (m_buffer.size() > 0) {
    const size_t parsedBytes = aParser.put(m_buffer.data(), error);
    m_buffer.consume(parsedBytes);
    const bool isIncomplete = error == beast::http::error::need_more;
    if (parsedBytes > 0 || (error && !isIncomplete)) {
      co_return isIncomplete ? boost::system::error_code() : error;
    }
  }
  error = co_await FillBuffer(aParser.is_header_done(), aDeadline);
  if (error == asio::error::eof && aParser.got_some()) {
    error = beast::http::error::partial_message;
  }
  co_return error;
}

asio::awaitable<boost::system::error_code>
Connection::FillBuffer(bool aIsBody, const ReadDeadline& aDeadline)
{
  boost::system::error_code error;
  const size_t room = m_buffer.max_size() - m_buffer.size();
  if (room == 0) {
    co_return beast::http::error::buffer_overflow;
  }
  const size_t wanted =
    aIsBody ? kBodyReadBytes
            : std::max(kMinReadBytes, m_buffer.capacity() - m_buffer.size());
  // The deadline cannot cancel a read that begins after it.
  if (!aDeadline.HasExpired()) {
    const size_t readBytes = co_await m_stream.async_read_some(
      m_buffer.prepare(std::min(wanted, room)),
      asio::redirect_error(asio::use_awaitable, error));
    m_buffer.commit(readBytes);
    m_budgetSlot->RecordProgress(readBytes);
  }
  if (aDeadline.HasExpired()) {
    error = beast::error::timeout;
  }
  co_return error;
}

asio::awaitable<bool>
Connection::Reserve(Reservation& aReservation, uint64_t aBytes)
{
  const core::Instant end = kernel::Now() + kMaxReserveTime;
  while (!aReservation.TryResize(aBytes)) {
    const bool mayFreeBytes = m_server->Budget()->FreeBytes();
    if (!mayFreeBytes || m_isGivingWay || kernel::Now() >= end) {
      co_return false;
    }
    co_await kernel::SleepUntil(kernel::Now() + kReservePause);
    // This connection is not stalled, but does not read meanwhile.
    m_budgetSlot->RecordProgress(0);
  }
  m_budgetSlot->RecordReservedBytes(aBytes);
  co_return true;
}

void
Connection::ReleaseBuffer()
{
  m_buffer.shrink_to_fit();
  (void)m_ownBytes.TryResize(kConnectionBytes);
}

asio::awaitable<void>
Connection::RejectUnread(ReadFailure aFailure)
{
  m_server->Kernel().Metrics().Get(aFailure.m_counter).Add();
  if (m_isGivingWay) {
    co_return;
  }
  co_await SendErrorResponse(std::move(aFailure.m_failure), aFailure.m_status);
  co_await DiscardInput();
}

asio::awaitable<void>
Connection::DiscardInput()
{
  boost::system::error_code error;
  m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
  m_stream.expires_after(kDiscardTimeout);
  m_buffer.clear();
  size_t discardedBytes = 0;
  const size_t room = std::min(kBodyReadBytes, m_buffer.max_size());
  while (!error && discardedBytes < kMaxDiscardedBytes) {
    discardedBytes += co_await m_stream.async_read_some(
      m_buffer.prepare(room), asio::redirect_error(asio::use_awaitable, error));
  }
}

asio::awaitable<void>
Connection::SendErrorResponse(core::Failure aFailure, uint32_t aStatus)
{
  Exchange exchange(*this, Request{}, m_loopIndex, false);
  Response response = MakeFailureResponse(aFailure);
  response.m_head.m_status = aStatus;
  if (aStatus == kRequestTimeout) {
    response.m_head.m_headers.push_back({ "Retry-After", "1" });
  }
  co_await exchange.RespondIgnoringErrors(std::move(response));
}

asio::awaitable<void>
Connection::CallHandler(Exchange& aExchange)
{
  const Route* route = m_server->FindRoute(
    aExchange.ReceivedRequest().m_method, aExchange.ReceivedRequest().m_target);
  if (route == nullptr) {
    const core::Failure failure = core::NotFound{ std::string(
      PathOf(aExchange.ReceivedRequest().m_target)) };
    Response response = MakeFailureResponse(failure);
    co_await aExchange.RespondIgnoringErrors(std::move(response));
    co_return;
  }
  std::string exceptionText;
  try {
    co_await route->m_handler(aExchange);
  } catch (const std::exception& error) {
    exceptionText = error.what();
  }
  if (!exceptionText.empty()) {
    m_server->Kernel().Metrics().Get("http.handler_threw").Add();
    kernel::LogEvent(kernel::LogLevel::Error,
                     "http",
                     "handler-threw",
                     { { "path", PathOf(aExchange.ReceivedRequest().m_target) },
                       { "reason", exceptionText } });
  }
  if (!aExchange.HasResponseStarted()) {
    const core::Failure failure = core::TruncatedResponse{ std::string(
      aExchange.ReceivedRequest().m_target) };
    Response response = MakeFailureResponse(failure);
    co_await aExchange.RespondIgnoringErrors(std::move(response));
  }
}

} // namespace heatherdeal::http
