#include "platform/hosts.h"

namespace heatherdeal::platform {

void
Hosts::Subscribe(Listener aListener)
{
  const auto entries = Read();
  aListener(*entries);
  m_listeners.push_back(std::move(aListener));
}

void
Hosts::Replace(std::vector<HostEntry> aEntries)
{
  m_entries.Publish(std::move(aEntries));
  const auto entries = Read();
  for (const Listener& listener : m_listeners) {
    listener(*entries);
  }
}

} // namespace heatherdeal::platform
