#pragma once

#include <optional>
#include <variant>

#include "core/ids.h"
#include "core/instant.h"

namespace heatherdeal::customers {

/// The request needs no key and belongs to no customer.
struct AnonymousAccess
{};

/// The request belongs to the customer that has its key.
struct CustomerAccess
{
  core::CustomerId m_customer;
};

/// The request has no key, or one that no customer has.
struct AccessDenied
{};

/// This host cannot tell whether the key is valid now; the request may be sent
/// again later.
struct AccessUndecided
{};

using Access =
  std::variant<AnonymousAccess, CustomerAccess, AccessDenied, AccessUndecided>;

/// What the decision about a request is based on.
struct AccessFacts
{
  /// False until a configuration is in force.
  bool m_isConfigured = true;
  bool m_needsKey = false;
  /// The customer that has the key of the request, by the configuration in
  /// force.
  std::optional<core::CustomerId> m_customer;
  /// Until when a key that the configuration lists counts as valid;
  /// Instant::max() without strict revocation.
  core::Instant m_keysValidUntil = core::Instant::max();
  /// Until when a key that the configuration does not list counts as unknown.
  core::Instant m_unknownKeysUntil = core::Instant::max();
};

Access
DecideAccess(const AccessFacts& aFacts, core::Instant aNow);

} // namespace heatherdeal::customers
