// A small HTTP/1.1 server and client with one thread for each connection, for
// the stand-ins of the review. Loopback only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

struct Message
{
  std::string m_method;
  std::string m_target;
  int m_status = 0;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;

  std::string Header(std::string_view aName) const
  {
    for (const auto& [name, value] : m_headers) {
      if (name.size() == aName.size() &&
          std::equal(
            name.begin(), name.end(), aName.begin(), [](char a, char b) {
              return std::tolower(a) == std::tolower(b);
            })) {
        return value;
      }
    }
    return "";
  }
  std::string Path() const { return m_target.substr(0, m_target.find('?')); }
  std::string Query(const std::string& aName) const
  {
    size_t at = m_target.find('?');
    while (at != std::string::npos) {
      const size_t end = m_target.find('&', at + 1);
      const std::string part =
        m_target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      if (part.rfind(aName + "=", 0) == 0) {
        return part.substr(aName.size() + 1);
      }
      at = end;
    }
    return "";
  }
};

/// One TCP connection. Reads have a time limit.
class Socket
{
public:
  explicit Socket(int aFd = -1)
    : m_fd(aFd)
  {
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { Close(); }

  bool Connect(const std::string& aAddress, uint16_t aPort, int aTimeoutMs)
  {
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(aPort);
    inet_pton(AF_INET, aAddress.c_str(), &to.sin_addr);
    timeval limit{ aTimeoutMs / 1000, (aTimeoutMs % 1000) * 1000 };
    setsockopt(m_fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return ::connect(m_fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
  }
  void Close()
  {
    if (m_fd >= 0) {
      ::close(m_fd);
      m_fd = -1;
    }
  }
  /// Closes the connection with a reset.
  void Reset()
  {
    const linger atOnce{ 1, 0 };
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
    Close();
  }
  bool Write(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      const ssize_t sent =
        ::send(m_fd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      aBytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
  }
  /// True if the peer has closed the connection.
  bool IsClosedByPeer()
  {
    char byte;
    const ssize_t n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  /// Reads one message; nothing if the connection ends, the time is up or the
  /// message is not complete.
  std::optional<Message> Read(Clock::time_point aUntil, bool aIsResponse)
  {
    size_t end;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aUntil)) {
        return std::nullopt;
      }
    }
    Message message;
    const std::string head = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 4);
    size_t line = head.find("\r\n");
    const std::string first = head.substr(0, line);
    if (aIsResponse) {
      message.m_status = std::atoi(first.substr(first.find(' ') + 1).c_str());
    } else {
      const size_t a = first.find(' ');
      const size_t b = first.rfind(' ');
      message.m_method = first.substr(0, a);
      message.m_target = first.substr(a + 1, b - a - 1);
    }
    while (line != std::string::npos) {
      const size_t next = head.find("\r\n", line + 2);
      const std::string text = head.substr(
        line + 2, next == std::string::npos ? next : next - line - 2);
      const size_t colon = text.find(':');
      if (colon != std::string::npos) {
        size_t value = colon + 1;
        while (value < text.size() && text[value] == ' ') {
          ++value;
        }
        message.m_headers.push_back(
          { text.substr(0, colon), text.substr(value) });
      }
      line = next;
    }
    if (message.Header("Transfer-Encoding") == "chunked") {
      for (;;) {
        size_t eol;
        while ((eol = m_buffer.find("\r\n")) == std::string::npos) {
          if (!Fill(aUntil)) {
            return std::nullopt;
          }
        }
        const size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
        while (m_buffer.size() < eol + 2 + size + 2) {
          if (!Fill(aUntil)) {
            return std::nullopt;
          }
        }
        message.m_body += m_buffer.substr(eol + 2, size);
        m_buffer.erase(0, eol + 2 + size + 2);
        if (size == 0) {
          break;
        }
      }
    } else {
      const size_t size =
        std::strtoul(message.Header("Content-Length").c_str(), nullptr, 10);
      while (m_buffer.size() < size) {
        if (!Fill(aUntil)) {
          return std::nullopt;
        }
      }
      message.m_body = m_buffer.substr(0, size);
      m_buffer.erase(0, size);
    }
    return message;
  }

private:
  bool Fill(Clock::time_point aUntil)
  {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                        aUntil - Clock::now())
                        .count();
    pollfd wait{ m_fd, POLLIN, 0 };
    if (left <= 0 ||
        ::poll(&wait, 1, static_cast<int>(std::min<long long>(left, 60000))) <=
          0) {
      return false;
    }
    char bytes[16384];
    const ssize_t n = ::recv(m_fd, bytes, sizeof bytes, 0);
    if (n <= 0) {
      return false;
    }
    m_buffer.append(bytes, static_cast<size_t>(n));
    return true;
  }

  int m_fd;
  std::string m_buffer;
};

inline std::string
Format(const Message& aResponse, bool aWithLength = true)
{
  std::string text =
    "HTTP/1.1 " + std::to_string(aResponse.m_status) + " X\r\n";
  for (const auto& [name, value] : aResponse.m_headers) {
    text += name + ": " + value + "\r\n";
  }
  if (aWithLength) {
    text +=
      "Content-Length: " + std::to_string(aResponse.m_body.size()) + "\r\n";
  }
  return text + "\r\n" + aResponse.m_body;
}

/// Calls aHandler for each request. The handler writes the answer and returns
/// false if the connection has to be closed.
class HttpServer
{
public:
  using Handler = std::function<bool(const Message&, Socket&)>;

  bool Listen(const std::string& aAddress, uint16_t aPort, Handler aHandler)
  {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(aPort);
    inet_pton(AF_INET, aAddress.c_str(), &at.sin_addr);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(fd, 512) != 0) {
      ::close(fd);
      return false;
    }
    std::thread([fd, aHandler] {
      for (;;) {
        const int peer = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (peer < 0) {
          continue;
        }
        const int on = 1;
        setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([peer, aHandler] {
          Socket socket(peer);
          for (;;) {
            const auto request =
              socket.Read(Clock::now() + std::chrono::seconds(60), false);
            if (!request || !aHandler(*request, socket)) {
              return;
            }
          }
        }).detach();
      }
    }).detach();
    return true;
  }
};

/// Sends one request on a new connection. Status 0: no complete answer.
inline Message
Call(const std::string& aAddress,
     uint16_t aPort,
     const Message& aRequest,
     int aTimeoutMs)
{
  Message none;
  Socket socket;
  if (!socket.Connect(aAddress, aPort, std::min(aTimeoutMs, 1000))) {
    return none;
  }
  std::string text =
    aRequest.m_method + " " + aRequest.m_target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aRequest.m_headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(aRequest.m_body.size()) +
          "\r\nConnection: close\r\n\r\n" + aRequest.m_body;
  if (!socket.Write(text)) {
    return none;
  }
  return socket.Read(Clock::now() + std::chrono::milliseconds(aTimeoutMs), true)
    .value_or(none);
}

} // namespace review
