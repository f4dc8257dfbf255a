#pragma once

#include <string>
#include <vector>

#include "boost/asio/awaitable.hpp"

#include "core/ids.h"
#include "core/instant.h"
#include "http/client.h"

namespace heatherdeal::standin {

/// Finds the endpoints of a role as a caller does: fetches them from an entry
/// host and caches the response for its lifetime.
class Locator
{
public:
  Locator(http::Client& aClient,
          std::vector<core::Endpoint> aEntryHosts,
          std::string aRole,
          std::string aFailureDomain);

  /// Returns the endpoint to use now. Fetches the addresses anew if the cached
  /// response has expired. Returns an entry host of the settings if no
  /// addresses have been fetched yet.
  boost::asio::awaitable<core::Endpoint> FindEndpoint();
  /// Selects the next endpoint, after a call to the last one failed.
  void UseNextEndpoint();

private:
  /// Fetches the addresses from the first entry host that responds.
  boost::asio::awaitable<void> FetchEndpoints();

  http::Client& m_client;
  std::vector<core::Endpoint> m_entryHosts;
  std::string m_requestTarget;
  std::vector<core::Endpoint> m_fetchedEndpoints;
  core::Instant m_expiresAt{};
  size_t m_nextIndex = 0;
};

} // namespace heatherdeal::standin
