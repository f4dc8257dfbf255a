#pragma once

#include "boost/beast/core/tcp_stream.hpp"

namespace heatherdeal::http {

/// Lets another coroutine on the same loop abort a call by closing its
/// connection. Must only be used on the thread of the loop.
class CallAbort
{
public:
  /// Aborts the call; if it has no connection yet, as soon as it has one.
  void RequestAbort()
  {
    m_requested = true;
    if (m_stream != nullptr) {
      m_stream->close();
    }
  }
  bool IsAbortRequested() const { return m_requested; }

  /// Sets the stream of the connection that the call currently uses, or nullptr
  /// if it uses none.
  void AttachStream(boost::beast::tcp_stream* aStream)
  {
    m_stream = aStream;
    if (m_requested && m_stream != nullptr) {
      m_stream->close();
    }
  }

private:
  bool m_requested = false;
  boost::beast::tcp_stream* m_stream = nullptr;
};

} // namespace heatherdeal::http
