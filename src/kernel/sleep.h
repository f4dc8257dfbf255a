#pragma once

#include "boost/asio/awaitable.hpp"

#include "core/instant.h"

namespace heatherdeal::kernel {

/// Suspends the calling coroutine until the instant, without blocking its
/// thread.
boost::asio::awaitable<void>
SleepUntil(core::Instant aInstant);

} // namespace heatherdeal::kernel
