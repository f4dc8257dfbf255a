#pragma once

#include <atomic>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <thread>

#include "boost/asio/awaitable.hpp"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"

#include "core/ids.h"

namespace heatherdeal::http {

/// How a server stops when it crashes.
enum class CrashMode
{
  /// All connections and the port are closed.
  Closed,
  /// Connections stay open, but nothing is answered any more.
  Silent,
  /// All connections are closed, and the server is back at once; the next
  /// crash marker does not crash it.
  Restarted,
};

/// A server with persistent connections that crashes when it receives a request
/// that contains kCrashMarker. It answers all others with a fixed response, in
/// which kIdPlaceholder stands for the request's id.
class CrashingServer
{
public:
  static constexpr std::string_view kCrashMarker = "crash-the-server";
  static constexpr std::string_view kIdPlaceholder = "{id}";

  CrashingServer(std::string aResponse, CrashMode aMode);
  ~CrashingServer();
  CrashingServer(const CrashingServer&) = delete;
  CrashingServer& operator=(const CrashingServer&) = delete;

  core::Endpoint Endpoint() const { return m_endpoint; }
  /// The number of requests received, including those that crashed the server.
  int Received() const { return m_received.load(); }
  bool HasCrashed() const { return m_hasCrashed.load(); }

private:
  boost::asio::awaitable<void> AcceptConnections();
  boost::asio::awaitable<void> ServeConnection(
    std::shared_ptr<boost::asio::ip::tcp::socket> aSocket);
  void Crash();

  std::string m_response;
  CrashMode m_mode;
  boost::asio::io_context m_loop;
  boost::asio::ip::tcp::acceptor m_acceptor;
  core::Endpoint m_endpoint;
  std::set<std::shared_ptr<boost::asio::ip::tcp::socket>> m_connections;
  std::atomic<int> m_received{ 0 };
  std::atomic<bool> m_hasCrashed{ false };
  std::thread m_thread;
};

} // namespace heatherdeal::http
