#pragma once

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

#include "kernel/published.h"
#include "objectstore/hostlist.h"

namespace heatherdeal::objectstore {

/// Publishes the most recent host list, which stays available while the store
/// is unreachable. Listeners are notified on the control thread.
class Hosts
{
public:
  using Listener = std::function<void(std::span<const HostEntry>)>;

  /// Returns the current entries. May be called on any thread.
  std::shared_ptr<const std::vector<HostEntry>> Read() const
  {
    return m_entries.Read();
  }

  /// Calls aListener immediately and after each change. Control thread only.
  void Subscribe(Listener aListener);
  /// Replaces the entries that were read from objects of one kind. Control
  /// thread only.
  void Replace(std::string_view aKind, std::vector<HostEntry> aEntries);

private:
  kernel::Published<std::vector<HostEntry>> m_entries;
  std::map<std::string, std::vector<HostEntry>, std::less<>> m_entriesByKind;
  std::vector<Listener> m_listeners;
};

} // namespace heatherdeal::objectstore
