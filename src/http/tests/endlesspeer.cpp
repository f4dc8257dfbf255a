#include "http/tests/endlesspeer.h"

#include "boost/asio/buffer.hpp"
#include "boost/asio/write.hpp"

#include "http/tests/loopback.h"

namespace heatherdeal::http {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

} // namespace

EndlessPeer::EndlessPeer(std::string aStart,
                         std::string aRepeated,
                         std::chrono::milliseconds aPause)
  : m_start(std::move(aStart))
  , m_repeated(std::move(aRepeated))
  , m_pause(aPause)
  , m_acceptor(m_loop, LoopbackEndpoint(0))
  , m_thread([this] { AcceptConnections(); })
{
}

EndlessPeer::~EndlessPeer()
{
  m_stopping.store(true);
  UnblockAccept(m_acceptor);
  m_thread.join();
  for (std::thread& writer : m_writers) {
    writer.join();
  }
}

core::Endpoint
EndlessPeer::Endpoint() const
{
  return { "127.0.0.1", m_acceptor.local_endpoint().port() };
}

void
EndlessPeer::AcceptConnections()
{
  for (;;) {
    auto socket = std::make_shared<tcp::socket>(m_loop);
    boost::system::error_code error;
    m_acceptor.accept(*socket, error);
    if (error || m_stopping.load()) {
      return;
    }
    m_open.fetch_add(1);
    m_writers.emplace_back([this, socket] {
      WriteUntilClosed(*socket);
      m_open.fetch_sub(1);
    });
  }
}

void
EndlessPeer::WriteUntilClosed(tcp::socket& aSocket)
{
  boost::system::error_code error;
  asio::write(aSocket, asio::buffer(m_start), error);
  while (!error && !m_stopping.load()) {
    asio::write(aSocket, asio::buffer(m_repeated), error);
    if (m_pause.count() > 0) {
      std::this_thread::sleep_for(m_pause);
    }
  }
}

} // namespace heatherdeal::http
