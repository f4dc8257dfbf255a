#pragma once

#include <functional>
#include <memory>
#include <span>
#include <vector>

#include "kernel/published.h"
#include "platform/hostlist.h"

namespace heatherdeal::platform {

/// The host list as last seen; kept through outages of the store. Changes
/// are announced on the control thread.
class Hosts
{
public:
  using Listener = std::function<void(std::span<const HostEntry>)>;

  std::shared_ptr<const std::vector<HostEntry>> Read() const
  {
    return m_entries.Read();
  }

  /// Calls aListener now and after each change; control thread only.
  void Subscribe(Listener aListener);
  void Replace(std::vector<HostEntry> aEntries);

private:
  kernel::Published<std::vector<HostEntry>> m_entries;
  std::vector<Listener> m_listeners;
};

} // namespace heatherdeal::platform
