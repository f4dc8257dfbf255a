#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "boost/asio/ip/tcp.hpp"

#include "core/ids.h"

namespace heatherdeal::http {

/// A server that answers each connection with some bytes and then repeats
/// others until the caller closes the connection.
class EndlessPeer
{
public:
  EndlessPeer(std::string aStart,
              std::string aRepeated,
              std::chrono::milliseconds aPause = {});
  ~EndlessPeer();
  EndlessPeer(const EndlessPeer&) = delete;
  EndlessPeer& operator=(const EndlessPeer&) = delete;

  core::Endpoint Endpoint() const;
  /// The number of connections that the callers have not closed.
  int OpenConnections() const { return m_open.load(); }

private:
  void AcceptConnections();
  void WriteUntilClosed(boost::asio::ip::tcp::socket& aSocket);

  std::string m_start;
  std::string m_repeated;
  std::chrono::milliseconds m_pause;
  boost::asio::io_context m_loop;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::atomic<int> m_open{ 0 };
  std::atomic<bool> m_stopping{ false };
  std::vector<std::thread> m_writers;
  std::thread m_thread;
};

} // namespace heatherdeal::http
