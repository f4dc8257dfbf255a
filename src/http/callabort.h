#pragma once

#include "boost/beast/core/tcp_stream.hpp"

namespace heatherdeal::http {

/// Lets another coroutine of the same loop end a call by closing its
/// connection. Only the loop's thread may use it.
class CallAbort
{
public:
  void Request()
  {
    m_requested = true;
    if (m_stream != nullptr) {
      m_stream->close();
    }
  }
  bool IsRequested() const { return m_requested; }

  /// The connection that the call uses now; null: none.
  void Attach(boost::beast::tcp_stream* aStream)
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
