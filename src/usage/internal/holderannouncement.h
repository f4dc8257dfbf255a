#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kernel/context.h"
#include "usage/countsending.h"

namespace heatherdeal::usage {

/// Spreads the name of the holder by gossip. Control thread only.
class HolderAnnouncement
  : public std::enable_shared_from_this<HolderAnnouncement>
{
public:
  using Listener = std::function<void(const Holder&)>;

  explicit HolderAnnouncement(kernel::Context& aContext);

  /// Starts the exchange with other hosts.
  void Start();
  /// Calls aListener for each newer holder.
  void Subscribe(Listener aListener);
  /// Records a holder and passes it on. Ignored unless it is newer than the
  /// known one.
  void Announce(const Holder& aHolder);

  const Holder& Known() const { return m_known; }

private:
  std::string Compose(size_t aMaxBytes) const;
  void Receive(std::string_view aBytes);

  kernel::Context& m_context;
  Holder m_known;
  std::vector<Listener> m_listeners;
};

} // namespace heatherdeal::usage
