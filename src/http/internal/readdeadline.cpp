#include "http/internal/readdeadline.h"

#include "kernel/controlthread.h"

namespace heatherdeal::http {

ReadDeadline::ReadDeadline(boost::beast::tcp_stream& aStream,
                           core::Instant aDeadline)
  : m_state(std::make_shared<State>())
  , m_timer(aStream.get_executor(), kernel::ToSteady(aDeadline))
{
  m_state->m_stream = &aStream;
  m_timer.async_wait([state = m_state](boost::system::error_code aError) {
    if (!aError && state->m_stream != nullptr) {
      state->m_expired = true;
      state->m_stream->cancel();
    }
  });
}

ReadDeadline::~ReadDeadline()
{
  // The timer's handler may already be queued.
  m_state->m_stream = nullptr;
}

} // namespace heatherdeal::http
