#pragma once

#include <string>
#include <vector>

#include "boost/asio/awaitable.hpp"

#include "core/ids.h"
#include "core/instant.h"
#include "http/client.h"

namespace heatherdeal::standin {

/// Finds addresses of the system as a caller does: asks an entry host and
/// keeps the answer for its lifetime.
class Locator
{
public:
  Locator(http::Client& aClient,
          std::vector<core::Endpoint> aEntries,
          std::string aRole,
          std::string aFailureDomain);

  /// The address to use now; asks again if the last answer has lapsed. An
  /// entry host of the settings is returned while none answers.
  boost::asio::awaitable<core::Endpoint> Find();
  /// The last address did not work; the next one is tried.
  void Reject();

private:
  boost::asio::awaitable<void> Ask();

  http::Client& m_client;
  std::vector<core::Endpoint> m_entries;
  std::string m_target;
  std::vector<core::Endpoint> m_known;
  core::Instant m_validUntil{};
  size_t m_next = 0;
};

} // namespace heatherdeal::standin
