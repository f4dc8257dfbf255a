#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

#include "boost/asio/awaitable.hpp"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"

#include "core/ids.h"

namespace heatherdeal::http {

/// A server with persistent connections that answers each request twice: the
/// second copy of a response is sent late, where the response to the next
/// request on its connection is expected.
class StutteringServer
{
public:
  /// Returns the bytes of the response to a request, which is passed whole.
  using Responder = std::function<std::string(std::string_view aRequest)>;

  /// aRespond is called on a thread of the server.
  explicit StutteringServer(Responder aRespond);
  ~StutteringServer();

  core::Endpoint Endpoint() const { return m_endpoint; }
  /// The number of late copies sent so far.
  int LateCopies() const { return m_lateCopies.load(); }

private:
  boost::asio::awaitable<void> AcceptConnections();
  boost::asio::awaitable<void> ServeConnection(
    boost::asio::ip::tcp::socket aSocket);

  Responder m_respond;
  boost::asio::io_context m_loop;
  boost::asio::ip::tcp::acceptor m_acceptor;
  core::Endpoint m_endpoint;
  std::atomic<int> m_lateCopies{ 0 };
  std::thread m_thread;
};

} // namespace heatherdeal::http
