#pragma once

#include <memory>

#include "boost/asio/steady_timer.hpp"
#include "boost/beast/core/tcp_stream.hpp"

#include "core/instant.h"

namespace heatherdeal::http {

/// Ends a read at its deadline and leaves the connection open, so that the
/// caller can still be told. The stream's own timer would close it.
class ReadLimit
{
public:
  ReadLimit(boost::beast::tcp_stream& aStream, core::Instant aDeadline);
  ~ReadLimit();
  ReadLimit(const ReadLimit&) = delete;
  ReadLimit& operator=(const ReadLimit&) = delete;

  bool HasPassed() const { return m_state->m_passed; }

private:
  struct State
  {
    boost::beast::tcp_stream* m_stream = nullptr;
    bool m_passed = false;
  };

  std::shared_ptr<State> m_state;
  boost::asio::steady_timer m_timer;
};

} // namespace heatherdeal::http
