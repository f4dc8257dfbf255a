#include "objectstore/hosts.h"

namespace heatherdeal::objectstore {

void
Hosts::Subscribe(Listener aListener)
{
  const auto entries = Read();
  aListener(*entries);
  m_listeners.push_back(std::move(aListener));
}

void
Hosts::Replace(std::string_view aKind, std::vector<HostEntry> aEntries)
{
  m_byKind[std::string(aKind)] = std::move(aEntries);
  std::vector<HostEntry> all;
  for (const auto& [kind, list] : m_byKind) {
    all.insert(all.end(), list.begin(), list.end());
  }
  m_entries.Publish(std::move(all));
  const auto entries = Read();
  for (const Listener& listener : m_listeners) {
    listener(*entries);
  }
}

} // namespace heatherdeal::objectstore
