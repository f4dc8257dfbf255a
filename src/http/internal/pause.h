#pragma once

#include "boost/asio/awaitable.hpp"

#include "core/instant.h"

namespace heatherdeal::http {

/// Suspends the calling coroutine until the instant. Unlike kernel::SleepUntil,
/// it belongs to no module that programs with this one have to link.
boost::asio::awaitable<void>
PauseUntil(core::Instant aInstant);

} // namespace heatherdeal::http
