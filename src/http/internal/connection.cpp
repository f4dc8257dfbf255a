#include "http/internal/connection.h"

#include <sys/socket.h>

#include "boost/asio/redirect_error.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/beast/http/parser.hpp"
#include "boost/beast/http/read.hpp"
#include "boost/beast/http/string_body.hpp"

#include "http/internal/readdeadline.h"
#include "kernel/eventlog.h"

namespace heatherdeal::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

using Parser = beast::http::request_parser<beast::http::string_body>;

constexpr uint32_t kBadRequest = 400;
constexpr uint32_t kPayloadTooLarge = 413;
constexpr uint32_t kHeaderTooLarge = 431;
constexpr uint32_t kRequestTimeout = 408;

/// The failure, HTTP status and counter for a request that could not be read.
struct ReadFailure
{
  core::Failure m_failure;
  uint32_t m_status = kBadRequest;
  std::string_view m_counter;
};

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
ToRequest(Parser::value_type aMessage)
{
  Request request;
  request.m_method = std::string(aMessage.method_string());
  request.m_target = std::string(aMessage.target());
  for (const auto& field : aMessage) {
    request.m_headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  request.m_body = std::move(aMessage.body());
  return request;
}

} // namespace

Connection::Connection(std::shared_ptr<Server> aServer,
                       beast::tcp_stream aStream,
                       size_t aLoopIndex)
  : m_server(std::move(aServer))
  , m_stream(std::move(aStream))
  , m_buffer(m_server->Settings().m_maxHeaderBytes + 4096)
  , m_loopIndex(aLoopIndex)
{
  m_server->OpenConnections().fetch_add(1);
}

Connection::~Connection()
{
  if (m_disconnectWatch) {
    m_disconnectWatch->m_active = false;
  }
  m_server->OpenConnections().fetch_sub(1);
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
  m_stream.expires_after(Settings().m_idleTimeout);
  if (m_buffer.size() == 0) {
    // Wait for the first byte without a shutdown hold, so that an idle
    // connection does not delay a shutdown.
    const size_t readBytes = co_await m_stream.async_read_some(
      m_buffer.prepare(1024), asio::redirect_error(asio::use_awaitable, error));
    m_buffer.commit(readBytes);
    if (error) {
      co_return false;
    }
  }
  const auto hold = m_server->Kernel().ProcessShutdown().Acquire();
  m_stream.expires_never();
  {
    const ReadDeadline readDeadline(
      m_stream, kernel::Now() + Settings().m_requestTimeout);
    co_await beast::http::async_read(
      m_stream,
      m_buffer,
      parser,
      asio::redirect_error(asio::use_awaitable, error));
    if (error && readDeadline.HasExpired()) {
      error = beast::error::timeout;
    }
  }
  if (error) {
    const std::optional<ReadFailure> readFailure = ToReadFailure(error);
    if (readFailure) {
      m_server->Kernel().Metrics().Get(readFailure->m_counter).Add();
      co_await SendErrorResponse(readFailure->m_failure, readFailure->m_status);
    }
    co_return false;
  }
  m_server->Kernel().Metrics().Get("http.requests").Add();
  const bool keepAlive = parser.get().keep_alive() && !IsDraining();
  Exchange exchange(*this, ToRequest(parser.release()), m_loopIndex, keepAlive);
  m_stream.expires_never();
  co_await CallHandler(exchange);
  if (m_disconnectWatch) {
    m_disconnectWatch->m_active = false;
    m_disconnectWatch.reset();
  }
  co_return exchange.HasResponseEnded() && exchange.ShouldKeepAlive();
}

asio::awaitable<void>
Connection::SendErrorResponse(core::Failure aFailure, uint32_t aStatus)
{
  Exchange exchange(*this, Request{}, m_loopIndex, false);
  Response response = MakeFailureResponse(aFailure);
  response.m_head.m_status = aStatus;
  co_await exchange.RespondIgnoringErrors(std::move(response));
}

asio::awaitable<void>
Connection::CallHandler(Exchange& aExchange)
{
  const Handler* handler = m_server->FindHandler(
    aExchange.ReceivedRequest().m_method, aExchange.ReceivedRequest().m_target);
  if (handler == nullptr) {
    const core::Failure failure = core::NotFound{ std::string(
      PathOf(aExchange.ReceivedRequest().m_target)) };
    Response response = MakeFailureResponse(failure);
    co_await aExchange.RespondIgnoringErrors(std::move(response));
    co_return;
  }
  std::string exceptionText;
  try {
    co_await (*handler)(aExchange);
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
