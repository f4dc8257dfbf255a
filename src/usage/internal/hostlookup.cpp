#include "usage/internal/hostlookup.h"

#include <algorithm>

#include "objectstore/hosts.h"

namespace heatherdeal::usage {

std::optional<core::Endpoint>
FindEndpoint(const kernel::Context& aContext, std::string_view aHost)
{
  const auto hosts = aContext.Get<objectstore::Hosts>()->Read();
  const auto entry =
    std::ranges::find(*hosts, aHost, &objectstore::HostEntry::m_name);
  return entry == hosts->end() ? std::nullopt
                               : std::optional(entry->m_endpoint);
}

std::vector<std::string>
FindHosts(const kernel::Context& aContext,
          std::string_view aRole,
          const std::function<bool(std::string_view aHost)>& aIsWanted)
{
  const auto hosts = aContext.Get<objectstore::Hosts>()->Read();
  std::vector<std::string> names;
  for (const objectstore::HostEntry& host : *hosts) {
    if (host.m_service == aRole && aIsWanted(host.m_name)) {
      names.push_back(host.m_name);
    }
  }
  return names;
}

} // namespace heatherdeal::usage
