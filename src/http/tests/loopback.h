#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "boost/asio/ip/tcp.hpp"

#include "http/client.h"
#include "http/server.h"

namespace heatherdeal::http {

/// Returns the settings of a server on a free port of the loopback address.
ServerSettings
AnyPort();

/// A minimal process with control and traffic threads, a server and clients.
class Loopback
{
public:
  explicit Loopback(const ServerSettings& aSettings,
                    std::string aHostName = "test");
  ~Loopback();
  Loopback(const Loopback&) = delete;
  Loopback& operator=(const Loopback&) = delete;

  Server& Http() { return *m_server; }
  kernel::Context& Kernel() { return m_context; }
  /// Starts the server; throws if its endpoint cannot be bound.
  void Listen();
  /// The endpoint of the server.
  core::Endpoint Self() const { return { "127.0.0.1", m_server->Port() }; }

  /// Sends a request and blocks until the response or aTimeout.
  absl::StatusOr<Response> Call(const core::Endpoint& aPeer,
                                Request aRequest,
                                Reuse aReuse,
                                core::Duration aTimeout);

  /// Sends bytes unchanged on a new connection to the server and returns all
  /// bytes received until the connection is closed.
  std::string SendRaw(std::string_view aBytes, bool aShutdownSend);

private:
  kernel::Context m_context;
  std::shared_ptr<Clients> m_clients;
  std::shared_ptr<Server> m_server;
  std::thread m_controlThread;
};

/// Returns the endpoint of a port on the loopback address.
boost::asio::ip::tcp::endpoint
LoopbackEndpoint(uint16_t aPort);

/// Connects to the acceptor, so that a blocking accept call returns.
void
UnblockAccept(const boost::asio::ip::tcp::acceptor& aAcceptor);

/// Returns the value of a header in the bytes of a request; "" if it has none.
std::string
FindRawHeader(std::string_view aRequest, std::string_view aName);

/// A server that responds once to every connection and closes it.
class RawServer
{
public:
  /// Returns the bytes of the response to the bytes of a request.
  using Responder = std::function<std::string(std::string_view aRequest)>;

  /// aRespond is called on a thread of the server.
  explicit RawServer(Responder aRespond);
  /// Always sends the same bytes.
  explicit RawServer(std::string aResponse);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  core::Endpoint Endpoint() const;
  /// The number of accepted connections.
  int Accepted() const { return m_accepted.load(); }

private:
  void AcceptConnections();

  Responder m_respond;
  boost::asio::io_context m_loop;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::atomic<int> m_accepted{ 0 };
  std::atomic<bool> m_stopping{ false };
  std::thread m_thread;
};

} // namespace heatherdeal::http
