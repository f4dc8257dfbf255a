#pragma once

#include "boost/asio/io_context.hpp"

namespace heatherdeal::kernel {

/// An event loop of one thread.
class Loop : public boost::asio::io_context
{
public:
  Loop()
    : boost::asio::io_context(1)
  {
  }

  /// Destroys what waits in the loop. Sockets and timers of the loop may
  /// still be destroyed afterwards, until the loop itself is.
  void DestroyHandlers() { shutdown(); }
};

} // namespace heatherdeal::kernel
