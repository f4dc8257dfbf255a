#pragma once

#include <memory>

#include "boost/asio/steady_timer.hpp"
#include "boost/beast/core/tcp_stream.hpp"

#include "core/instant.h"

namespace heatherdeal::http {

/// Cancels a read at its deadline and leaves the connection open, so that an
/// error response can be sent. The timer of the stream would close the
/// connection instead.
class ReadDeadline
{
public:
  ReadDeadline(boost::beast::tcp_stream& aStream, core::Instant aDeadline);
  ~ReadDeadline();
  ReadDeadline(const ReadDeadline&) = delete;
  ReadDeadline& operator=(const ReadDeadline&) = delete;

  /// True if the deadline has passed and the read was cancelled.
  bool HasExpired() const { return m_state->m_expired; }

private:
  struct State
  {
    boost::beast::tcp_stream* m_stream = nullptr;
    bool m_expired = false;
  };

  std::shared_ptr<State> m_state;
  boost::asio::steady_timer m_timer;
};

} // namespace heatherdeal::http
