#pragma once

#include "boost/asio/awaitable.hpp"

#include "core/instant.h"

namespace heatherdeal::kernel {

/// Suspends the coroutine until then; its loop goes on.
boost::asio::awaitable<void>
SleepUntil(core::Instant aInstant);

} // namespace heatherdeal::kernel
