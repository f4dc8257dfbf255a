#include "http/internal/readlimit.h"

#include "kernel/controlthread.h"

namespace heatherdeal::http {

ReadLimit::ReadLimit(boost::beast::tcp_stream& aStream, core::Instant aDeadline)
  : m_state(std::make_shared<State>())
  , m_timer(aStream.get_executor(), kernel::ToSteady(aDeadline))
{
  m_state->m_stream = &aStream;
  m_timer.async_wait([state = m_state](boost::system::error_code aError) {
    if (!aError && state->m_stream != nullptr) {
      state->m_passed = true;
      state->m_stream->cancel();
    }
  });
}

ReadLimit::~ReadLimit()
{
  // The timer's handler may be on its way already.
  m_state->m_stream = nullptr;
}

} // namespace heatherdeal::http
