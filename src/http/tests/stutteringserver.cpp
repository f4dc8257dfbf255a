#include "http/tests/stutteringserver.h"

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

StutteringServer::StutteringServer(Responder aRespond)
  : m_respond(std::move(aRespond))
  , m_acceptor(m_loop, LoopbackEndpoint(0))
  , m_endpoint{ "127.0.0.1", m_acceptor.local_endpoint().port() }
{
  asio::co_spawn(m_loop, AcceptConnections(), asio::detached);
  m_thread = std::thread([this] { m_loop.run(); });
}

StutteringServer::~StutteringServer()
{
  m_loop.stop();
  m_thread.join();
}

asio::awaitable<void>
StutteringServer::AcceptConnections()
{
  for (;;) {
    boost::system::error_code error;
    tcp::socket socket(m_loop);
    co_await m_acceptor.async_accept(
      socket, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    asio::co_spawn(m_loop, ServeConnection(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void>
StutteringServer::ServeConnection(tcp::socket aSocket)
{
  std::array<char, 8192> bytes{};
  std::string previous;
  for (;;) {
    boost::system::error_code error;
    // The requests of tests are short enough to arrive in one part.
    const size_t size = co_await aSocket.async_read_some(
      asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    const std::string response = m_respond({ bytes.data(), size });
    m_lateCopies.fetch_add(previous.empty() ? 0 : 1);
    const std::string sent = previous + response;
    co_await asio::async_write(
      aSocket,
      asio::buffer(sent),
      asio::redirect_error(asio::use_awaitable, error));
    previous = response;
  }
}

} // namespace heatherdeal::http
