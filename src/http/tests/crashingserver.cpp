#include "http/tests/crashingserver.h"

#include <array>

#include "boost/asio/buffer.hpp"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/redirect_error.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/asio/write.hpp"

#include "http/tests/loopback.h"

namespace heatherdeal::http {

namespace asio = boost::asio;
using asio::ip::tcp;

CrashingServer::CrashingServer(std::string aResponse, CrashMode aMode)
  : m_response(std::move(aResponse))
  , m_mode(aMode)
  , m_acceptor(m_loop, LoopbackEndpoint(0))
  , m_endpoint{ "127.0.0.1", m_acceptor.local_endpoint().port() }
{
  asio::co_spawn(m_loop, AcceptConnections(), asio::detached);
  m_thread = std::thread([this] { m_loop.run(); });
}

CrashingServer::~CrashingServer()
{
  m_loop.stop();
  m_thread.join();
}

asio::awaitable<void>
CrashingServer::AcceptConnections()
{
  for (;;) {
    boost::system::error_code error;
    auto socket = std::make_shared<tcp::socket>(m_loop);
    co_await m_acceptor.async_accept(
      *socket, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    m_connections.insert(socket);
    asio::co_spawn(m_loop, ServeConnection(socket), asio::detached);
  }
}

asio::awaitable<void>
CrashingServer::ServeConnection(std::shared_ptr<tcp::socket> aSocket)
{
  std::array<char, 8192> bytes{};
  for (;;) {
    boost::system::error_code error;
    // The requests of tests are short enough to arrive in one part.
    const size_t size = co_await aSocket->async_read_some(
      asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    const bool isDown = m_hasCrashed.load() && m_mode != CrashMode::Restarted;
    if (error || isDown) {
      co_return;
    }
    m_received.fetch_add(1);
    const std::string_view request(bytes.data(), size);
    const bool isMarked = request.find(kCrashMarker) != std::string_view::npos;
    if (isMarked && !m_hasCrashed.load()) {
      Crash();
      co_return;
    }
    std::string response = m_response;
    const size_t placeholder = response.find(kIdPlaceholder);
    if (placeholder != std::string::npos) {
      response.replace(placeholder,
                       kIdPlaceholder.size(),
                       FindRawHeader(request, "Request-Id"));
    }
    co_await asio::async_write(
      *aSocket,
      asio::buffer(response),
      asio::redirect_error(asio::use_awaitable, error));
  }
}

void
CrashingServer::Crash()
{
  m_hasCrashed.store(true);
  if (m_mode == CrashMode::Silent) {
    return;
  }
  boost::system::error_code ignored;
  if (m_mode == CrashMode::Closed) {
    m_acceptor.close(ignored);
  }
  for (const auto& connection : m_connections) {
    connection->close(ignored);
  }
  m_connections.clear();
}

} // namespace heatherdeal::http
