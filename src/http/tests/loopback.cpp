#include "http/tests/loopback.h"

#include <future>

#include "boost/asio/buffer.hpp"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/read.hpp"
#include "boost/asio/use_future.hpp"
#include "boost/asio/write.hpp"

namespace heatherdeal::http {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

} // namespace

tcp::endpoint
LoopbackEndpoint(uint16_t aPort)
{
  return { asio::ip::make_address("127.0.0.1"), aPort };
}

void
UnblockAccept(const tcp::acceptor& aAcceptor)
{
  asio::io_context loop;
  tcp::socket socket(loop);
  boost::system::error_code ignored;
  socket.connect(aAcceptor.local_endpoint(), ignored);
}

ServerSettings
AnyPort()
{
  ServerSettings settings;
  settings.m_listen = { "127.0.0.1", 0 };
  return settings;
}

Loopback::Loopback(const ServerSettings& aSettings, std::string aHostName)
  : m_context(kernel::Identity{ std::move(aHostName), "d0", "", "127.0.0.1" },
              2)
  , m_clients(std::make_shared<Clients>(m_context))
  , m_server(std::make_shared<Server>(m_context, aSettings))
  , m_controlThread([this] { m_context.Control().Run(); })
{
  m_context.Provide(m_clients);
  m_context.Provide(m_server);
}

Loopback::~Loopback()
{
  m_context.Control().Stop();
  m_controlThread.join();
  m_context.Traffic().Stop();
}

void
Loopback::Listen()
{
  const absl::Status status = m_server->Listen();
  if (!status.ok()) {
    throw std::runtime_error(std::string(status.message()));
  }
}

absl::StatusOr<Response>
Loopback::Call(const core::Endpoint& aPeer,
               Request aRequest,
               Reuse aReuse,
               core::Duration aTimeout)
{
  std::future<absl::StatusOr<Response>> response = asio::co_spawn(
    m_context.Traffic().Loop(0),
    m_clients->ForLoop(0).Call(
      aPeer, std::move(aRequest), aReuse, kernel::Now() + aTimeout),
    asio::use_future);
  return response.get();
}

std::string
Loopback::SendRaw(std::string_view aBytes, bool aShutdownSend)
{
  asio::io_context loop;
  tcp::socket socket(loop);
  socket.connect(LoopbackEndpoint(m_server->Port()));
  boost::system::error_code ignored;
  asio::write(socket, asio::buffer(aBytes.data(), aBytes.size()), ignored);
  if (aShutdownSend) {
    socket.shutdown(tcp::socket::shutdown_send, ignored);
  }
  std::string response;
  asio::read(socket, asio::dynamic_buffer(response), ignored);
  return response;
}

std::string
FindRawHeader(std::string_view aRequest, std::string_view aName)
{
  const std::string start = "\r\n" + std::string(aName) + ": ";
  const size_t found = aRequest.find(start);
  if (found == std::string_view::npos) {
    return "";
  }
  const size_t begin = found + start.size();
  return std::string(
    aRequest.substr(begin, aRequest.find("\r\n", begin) - begin));
}

RawServer::RawServer(std::string aResponse)
  : RawServer(
      [response = std::move(aResponse)](std::string_view) { return response; })
{
}

RawServer::RawServer(Responder aRespond)
  : m_respond(std::move(aRespond))
  , m_acceptor(m_loop, LoopbackEndpoint(0))
  , m_thread([this] { AcceptConnections(); })
{
}

RawServer::~RawServer()
{
  m_stopping.store(true);
  UnblockAccept(m_acceptor);
  m_thread.join();
}

core::Endpoint
RawServer::Endpoint() const
{
  return { "127.0.0.1", m_acceptor.local_endpoint().port() };
}

void
RawServer::AcceptConnections()
{
  for (;;) {
    tcp::socket socket(m_loop);
    boost::system::error_code error;
    m_acceptor.accept(socket, error);
    if (error || m_stopping.load()) {
      return;
    }
    m_accepted.fetch_add(1);
    std::array<char, 4096> request{};
    const size_t size = socket.read_some(asio::buffer(request), error);
    const std::string response = m_respond({ request.data(), size });
    asio::write(socket, asio::buffer(response), error);
    socket.shutdown(tcp::socket::shutdown_both, error);
  }
}

} // namespace heatherdeal::http
