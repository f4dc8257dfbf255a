#pragma once

#include <memory>
#include <optional>
#include <utility>

#include "boost/asio/awaitable.hpp"
#include "boost/asio/io_context.hpp"
#include "boost/asio/post.hpp"
#include "boost/asio/redirect_error.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"

namespace heatherdeal::kernel {

/// Lets a coroutine on a traffic loop wait for a value that another thread
/// sets.
template<typename T>
class AwaitableValue : public std::enable_shared_from_this<AwaitableValue<T>>
{
public:
  explicit AwaitableValue(boost::asio::io_context& aLoop)
    : m_loop(aLoop)
    , m_valueSetTimer(aLoop, boost::asio::steady_timer::time_point::max())
  {
  }

  /// Sets the value; later calls have no effect. Thread-safe.
  void Set(T aValue)
  {
    auto sharedValue = std::make_shared<T>(std::move(aValue));
    boost::asio::post(m_loop, [self = this->shared_from_this(), sharedValue] {
      if (!self->m_value) {
        self->m_value = std::move(*sharedValue);
        self->m_valueSetTimer.cancel();
      }
    });
  }

  /// Suspends until the value is set and returns it. To be called once, on the
  /// thread of the loop.
  boost::asio::awaitable<T> Wait()
  {
    const auto self = this->shared_from_this();
    if (!m_value) {
      boost::system::error_code ignored;
      co_await m_valueSetTimer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    co_return std::move(*m_value);
  }

private:
  boost::asio::io_context& m_loop;
  boost::asio::steady_timer m_valueSetTimer;
  std::optional<T> m_value;
};

} // namespace heatherdeal::kernel
