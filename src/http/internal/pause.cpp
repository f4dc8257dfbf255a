#include "http/internal/pause.h"

#include "boost/asio/redirect_error.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/this_coro.hpp"
#include "boost/asio/use_awaitable.hpp"

#include "kernel/controlthread.h"

namespace heatherdeal::http {

boost::asio::awaitable<void>
PauseUntil(core::Instant aInstant)
{
  const boost::asio::any_io_executor executor =
    co_await boost::asio::this_coro::executor;
  boost::asio::steady_timer timer(executor, kernel::ToSteady(aInstant));
  boost::system::error_code ignored;
  co_await timer.async_wait(
    boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

} // namespace heatherdeal::http
