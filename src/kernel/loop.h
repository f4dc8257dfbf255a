#pragma once

#include "boost/asio/io_context.hpp"

namespace heatherdeal::kernel {

/// An Asio event loop that is run by one thread.
class Loop : public boost::asio::io_context
{
public:
  Loop()
    : boost::asio::io_context(1)
  {
  }

  /// Destroys the pending handlers. Sockets and timers of the loop may be
  /// destroyed after this call, but before the loop itself.
  void DestroyHandlers() { shutdown(); }
};

} // namespace heatherdeal::kernel
