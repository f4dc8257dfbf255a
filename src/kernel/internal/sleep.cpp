#include "kernel/sleep.h"

#include "boost/asio/redirect_error.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/this_coro.hpp"
#include "boost/asio/use_awaitable.hpp"

#include "kernel/controlthread.h"

namespace heatherdeal::kernel {

boost::asio::awaitable<void>
SleepUntil(core::Instant aInstant)
{
  const boost::asio::any_io_executor executor =
    co_await boost::asio::this_coro::executor;
  boost::asio::steady_timer timer(executor);
  timer.expires_at(ToSteady(aInstant));
  boost::system::error_code ignored;
  co_await timer.async_wait(
    boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

} // namespace heatherdeal::kernel
