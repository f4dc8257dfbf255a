#pragma once

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

#include "kernel/published.h"
#include "objectstore/hostlist.h"

namespace heatherdeal::objectstore {

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
  /// Replaces the entries that came from one kind of objects.
  void Replace(std::string_view aKind, std::vector<HostEntry> aEntries);

private:
  kernel::Published<std::vector<HostEntry>> m_entries;
  std::map<std::string, std::vector<HostEntry>, std::less<>> m_byKind;
  std::vector<Listener> m_listeners;
};

} // namespace heatherdeal::objectstore
