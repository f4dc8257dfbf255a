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
#include "objectstore/confirmedtime.h"

namespace heatherdeal::customers {

/// Settings of the customers plug-in.
struct CustomerSettings
{
  /// True if requests need keys even if the configuration has no customers.
  bool m_required = false;
  /// True if keys count only while this host knows that its configuration is
  /// not older than m_revocationTime.
  bool m_strictRevocation = false;
  core::Duration m_revocationTime = std::chrono::seconds(5);
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
  /// aConfirmed tells when the configuration was last known to be the newest;
  /// null if it cannot get out of date.
  Authenticator(std::shared_ptr<configuration::ActiveConfiguration> aActive,
                std::shared_ptr<const objectstore::ConfirmedTime> aConfirmed,
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
    bool m_isInForce = false;
    bool m_hasCustomers = false;
    KeyIndex m_keys;
  };

  void SetCustomers(std::span<const configuration::Customer> aCustomers);

  std::shared_ptr<configuration::ActiveConfiguration> m_configuration;
  std::shared_ptr<const objectstore::ConfirmedTime> m_confirmed;
  CustomerSettings m_settings;
  KeyDigester m_digester;
  kernel::Published<Snapshot> m_snapshot;
};

} // namespace heatherdeal::customers
