#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "configuration/activeconfiguration.h"
#include "customers/access.h"
#include "customers/internal/keydigester.h"
#include "customers/keyindex.h"
#include "http/message.h"
#include "kernel/published.h"

namespace heatherdeal::customers {

/// Settings of the customers plug-in.
struct CustomerSettings
{
  /// True if requests need keys even if the configuration has no customers.
  bool m_required = false;
};

/// Returns the token of the only Authorization header with the Bearer scheme;
/// nullopt if there is no such header, or more than one.
std::optional<std::string_view>
FindBearerToken(std::span<const http::Header> aHeaders);

/// Removes the headers that identify the caller.
void
RemoveCredentials(std::vector<http::Header>& aHeaders);

/// Finds the customer of a request by its API key. Any thread.
class Authenticator
{
public:
  Authenticator(std::shared_ptr<configuration::ActiveConfiguration> aActive,
                const CustomerSettings& aSettings);

  /// Starts to follow the configuration. Control thread only.
  void Start();

  /// True if requests on routes that are not public need a key.
  bool AreKeysNeeded() const;

  /// Decides on a request to a route that is public or not.
  Access Authenticate(std::span<const http::Header> aHeaders,
                      bool aIsPublic) const;

private:
  /// The customers of the configuration in force.
  struct Snapshot
  {
    bool m_hasCustomers = false;
    KeyIndex m_keys;
  };

  void SetCustomers(std::span<const configuration::Customer> aCustomers);

  std::shared_ptr<configuration::ActiveConfiguration> m_configuration;
  CustomerSettings m_settings;
  KeyDigester m_digester;
  kernel::Published<Snapshot> m_snapshot;
};

} // namespace heatherdeal::customers
