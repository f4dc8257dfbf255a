#pragma once

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

private:
  /// False if the connection has to be closed.
  boost::asio::awaitable<bool> ServeOne();
  boost::asio::awaitable<void> Refuse(core::Failure aFailure, uint32_t aStatus);
  boost::asio::awaitable<void> Handle(Exchange& aExchange);

  std::shared_ptr<Server> m_server;
  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer;
  size_t m_loopIndex;
};

} // namespace heatherdeal::http
