#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "boost/asio/ip/tcp.hpp"

#include "http/client.h"
#include "http/server.h"

namespace heatherdeal::http {

/// Settings of a server on a free port of the loopback address.
ServerSettings
AnyPort();

/// A process in miniature: control and traffic threads, a server on a free
/// port, and clients.
class Loopback
{
public:
  explicit Loopback(const ServerSettings& aSettings);
  ~Loopback();
  Loopback(const Loopback&) = delete;
  Loopback& operator=(const Loopback&) = delete;

  Server& Http() { return *m_server; }
  kernel::Context& Kernel() { return m_context; }
  void Listen();
  core::Endpoint Self() const { return { "127.0.0.1", m_server->Port() }; }

  /// Waits for the answer of one call.
  absl::StatusOr<Answer> Call(const core::Endpoint& aPeer,
                              Request aRequest,
                              Reuse aReuse,
                              core::Duration aTime);

  /// Sends bytes as they are and returns all that comes back until the
  /// connection ends.
  std::string Raw(std::string_view aBytes, bool aCloseSending);

private:
  kernel::Context m_context;
  std::shared_ptr<Clients> m_clients;
  std::shared_ptr<Server> m_server;
  std::thread m_control;
};

/// Accepts connections and answers each with fixed bytes, then closes it.
class RawServer
{
public:
  explicit RawServer(std::string aAnswer);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  core::Endpoint Endpoint() const;
  int Accepted() const { return m_accepted.load(); }

private:
  void Serve();

  std::string m_answer;
  boost::asio::io_context m_loop;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::atomic<int> m_accepted{ 0 };
  std::atomic<bool> m_stopping{ false };
  std::thread m_thread;
};

} // namespace heatherdeal::http
