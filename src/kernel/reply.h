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

/// Lets a request on a traffic loop wait for a value from another thread.
template<typename T>
class Reply : public std::enable_shared_from_this<Reply<T>>
{
public:
  explicit Reply(boost::asio::io_context& aLoop)
    : m_loop(aLoop)
    , m_wake(aLoop, boost::asio::steady_timer::time_point::max())
  {
  }

  /// Any thread may call; the first value counts.
  void Set(T aValue)
  {
    auto held = std::make_shared<T>(std::move(aValue));
    boost::asio::post(m_loop, [self = this->shared_from_this(), held] {
      if (!self->m_value) {
        self->m_value = std::move(*held);
        self->m_wake.cancel();
      }
    });
  }

  /// Only on the loop's thread.
  boost::asio::awaitable<T> Wait()
  {
    const auto self = this->shared_from_this();
    if (!m_value) {
      boost::system::error_code cancelled;
      co_await m_wake.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
    }
    co_return std::move(*m_value);
  }

private:
  boost::asio::io_context& m_loop;
  boost::asio::steady_timer m_wake;
  std::optional<T> m_value;
};

} // namespace heatherdeal::kernel
