#pragma once

#include <functional>
#include <memory>

#include "boost/asio/awaitable.hpp"
#include "boost/beast/core/flat_buffer.hpp"
#include "boost/beast/core/tcp_stream.hpp"

#include "http/server.h"

namespace heatherdeal::http {

/// One caller's connection: reads requests and runs their handlers in turn.
class Connection
{
public:
  Connection(std::shared_ptr<Server> aServer,
             boost::beast::tcp_stream aStream,
             size_t aLoopIndex);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  boost::asio::awaitable<void> Run();

  boost::beast::tcp_stream& Stream() { return m_stream; }
  const ServerSettings& Settings() const { return m_server->Settings(); }
  bool IsDraining() const;

  /// Calls aOnGone once if the peer closes while a request is handled.
  void WatchPeer(std::function<void()> aOnGone);

private:
  struct PeerWatch
  {
    std::function<void()> m_onGone;
    bool m_active = true;
  };

  /// False if the connection has to be closed.
  boost::asio::awaitable<bool> ServeOne();
  boost::asio::awaitable<void> Refuse(core::Failure aFailure, uint32_t aStatus);
  boost::asio::awaitable<void> Handle(Exchange& aExchange);

  std::shared_ptr<Server> m_server;
  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer;
  size_t m_loopIndex;
  std::shared_ptr<PeerWatch> m_watch;
};

} // namespace heatherdeal::http
