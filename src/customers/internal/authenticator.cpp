#include "customers/authenticator.h"

#include "absl/strings/match.h"

#include "kernel/controlthread.h"

namespace heatherdeal::customers {

namespace {

constexpr std::string_view kAuthorizationHeader = "Authorization";
constexpr std::string_view kBearerPrefix = "Bearer ";
// A host in touch with the store has had a path to it for the last 4 s. A key
// that became valid earlier is known to such a host, but maybe not to others.
constexpr core::Duration kUnknownKeyTime = std::chrono::seconds(4);

bool
IsAuthorization(const http::Header& aHeader)
{
  return http::IsSameHeaderName(aHeader.m_name, kAuthorizationHeader);
}

} // namespace

std::optional<std::string_view>
FindBearerToken(std::span<const http::Header> aHeaders)
{
  const auto header = std::ranges::find_if(aHeaders, IsAuthorization);
  const bool isOnlyOne = header != aHeaders.end() &&
                         std::ranges::count_if(aHeaders, IsAuthorization) == 1;
  if (!isOnlyOne) {
    return std::nullopt;
  }
  const std::string_view value = header->m_value;
  const bool isBearer =
    absl::StartsWithIgnoreCase({ value.data(), value.size() },
                               { kBearerPrefix.data(), kBearerPrefix.size() });
  if (!isBearer || value.size() == kBearerPrefix.size()) {
    return std::nullopt;
  }
  return value.substr(kBearerPrefix.size());
}

void
RemoveCredentials(std::vector<http::Header>& aHeaders)
{
  std::erase_if(aHeaders, IsAuthorization);
}

Authenticator::Authenticator(
  std::shared_ptr<configuration::ActiveConfiguration> aActive,
  std::shared_ptr<const objectstore::ConfirmedTime> aConfirmed,
  const CustomerSettings& aSettings)
  : m_configuration(std::move(aActive))
  , m_confirmed(std::move(aConfirmed))
  , m_settings(aSettings)
{
}

void
Authenticator::Start()
{
  m_configuration->Require({ .m_needsCustomers = m_settings.m_required });
  m_configuration->Subscribe([this](const configuration::Document& aDocument) {
    SetCustomers(aDocument.m_customers);
  });
}

void
Authenticator::SetCustomers(std::span<const configuration::Customer> aCustomers)
{
  Snapshot snapshot;
  snapshot.m_isInForce = true;
  snapshot.m_hasCustomers = !aCustomers.empty();
  for (const configuration::Customer& customer : aCustomers) {
    for (const std::string& key : customer.m_keys) {
      snapshot.m_keys.Add(m_digester.Digest(key), customer.m_name);
    }
  }
  m_snapshot.Publish(std::move(snapshot));
}

bool
Authenticator::AreKeysNeeded() const
{
  return m_settings.m_required || m_snapshot.Read()->m_hasCustomers;
}

Access
Authenticator::Authenticate(std::span<const http::Header> aHeaders,
                            bool aIsPublic) const
{
  const auto snapshot = m_snapshot.Read();
  AccessFacts facts;
  facts.m_isConfigured = snapshot->m_isInForce;
  facts.m_needsKey =
    (m_settings.m_required || snapshot->m_hasCustomers) && !aIsPublic;
  const std::optional<std::string_view> token =
    facts.m_needsKey ? FindBearerToken(aHeaders) : std::nullopt;
  if (token) {
    const core::CustomerId* customer =
      snapshot->m_keys.Find(m_digester.Digest(*token));
    if (customer != nullptr) {
      facts.m_customer = *customer;
    }
  }
  if (m_confirmed) {
    const core::Instant confirmedAt = m_confirmed->Read();
    facts.m_unknownKeysUntil = confirmedAt + kUnknownKeyTime;
    if (m_settings.m_strictRevocation) {
      facts.m_keysValidUntil = confirmedAt + m_settings.m_revocationTime;
    }
  }
  return DecideAccess(facts, kernel::Now());
}

} // namespace heatherdeal::customers
