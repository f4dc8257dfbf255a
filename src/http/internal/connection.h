#pragma once

#include <functional>
#include <memory>

#include "boost/asio/awaitable.hpp"
#include "boost/beast/core/flat_buffer.hpp"
#include "boost/beast/core/tcp_stream.hpp"

#include "http/server.h"

namespace heatherdeal::http {

/// Connection of a caller. Reads requests and runs their handlers one after
/// another.
class Connection
{
public:
  Connection(std::shared_ptr<Server> aServer,
             boost::beast::tcp_stream aStream,
             size_t aLoopIndex);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Serves requests until the connection ends.
  boost::asio::awaitable<void> ServeRequests();

  boost::beast::tcp_stream& Stream() { return m_stream; }
  const ServerSettings& Settings() const { return m_server->Settings(); }
  bool IsDraining() const;

  /// Calls aOnDisconnect once if the caller closes the connection while its
  /// request is being handled.
  void WatchForDisconnect(std::function<void()> aOnDisconnect);

private:
  struct DisconnectWatch
  {
    std::function<void()> m_onDisconnect;
    bool m_active = true;
  };

  /// Reads and handles one request. Returns false if the connection has to be
  /// closed.
  boost::asio::awaitable<bool> ServeNextRequest();
  boost::asio::awaitable<void> SendErrorResponse(core::Failure aFailure,
                                                 uint32_t aStatus);
  boost::asio::awaitable<void> CallHandler(Exchange& aExchange);

  std::shared_ptr<Server> m_server;
  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer;
  size_t m_loopIndex;
  std::shared_ptr<DisconnectWatch> m_disconnectWatch;
};

} // namespace heatherdeal::http
