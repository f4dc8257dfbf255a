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
  m_entriesByKind[std::string(aKind)] = std::move(aEntries);
  std::vector<HostEntry> allEntries;
  for (const auto& [kind, kindEntries] : m_entriesByKind) {
    allEntries.insert(allEntries.end(), kindEntries.begin(), kindEntries.end());
  }
  m_entries.Publish(std::move(allEntries));
  const auto entries = Read();
  for (const Listener& listener : m_listeners) {
    listener(*entries);
  }
}

} // namespace heatherdeal::objectstore
