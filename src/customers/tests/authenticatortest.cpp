// Tests how the headers of a request lead to its customer.

#include "catch2/catch.hpp"

#include "customers/authenticator.h"
#include "kernel/controlthread.h"
#include "kernel/counters.h"

namespace heatherdeal::customers {

namespace {

constexpr std::string_view kDocument = R"({"generation":1,"customers":[
  {"name":"north","keys":["n1","n2"]},{"name":"south","keys":["s1"]}]})";

// What a host of an earlier release makes of a configuration with customers.
constexpr std::string_view kWithoutCustomers =
  R"({"generation":2,"services":[{"name":"s"}],"routes":[]})";

struct Fixture
{
  kernel::Counters m_counters;
  std::shared_ptr<configuration::ActiveConfiguration> m_active =
    std::make_shared<configuration::ActiveConfiguration>(m_counters);
  std::shared_ptr<objectstore::ConfirmedTime> m_confirmed =
    std::make_shared<objectstore::ConfirmedTime>();
  Authenticator m_authenticator;

  explicit Fixture(const CustomerSettings& aSettings = {})
    : m_authenticator(m_active, m_confirmed, aSettings)
  {
    m_authenticator.Start();
    m_confirmed->Advance(kernel::Now());
  }

  /// Returns the customer; "?" if the request is denied, "-" if it is
  /// undecided.
  std::string FindCustomer(std::vector<http::Header> aHeaders) const
  {
    const Access access = m_authenticator.Authenticate(aHeaders, false);
    if (const auto* allowed = std::get_if<CustomerAccess>(&access)) {
      return allowed->m_customer.m_value;
    }
    if (std::holds_alternative<AccessUndecided>(access)) {
      return "-";
    }
    return std::holds_alternative<AnonymousAccess>(access) ? "" : "?";
  }
};

} // namespace

TEST_CASE("each key of a customer leads to it")
{
  Fixture fixture;
  fixture.m_active->ApplyIfNewer(kDocument);
  CHECK(fixture.FindCustomer({ { "Authorization", "Bearer n1" } }) == "north");
  CHECK(fixture.FindCustomer({ { "authorization", "bearer n2" } }) == "north");
  CHECK(fixture.FindCustomer({ { "Authorization", "Bearer s1" } }) == "south");
}

// Guards against requests that run for the wrong customer, or without one.
TEST_CASE("a request without exactly one valid key is denied")
{
  Fixture fixture;
  fixture.m_active->ApplyIfNewer(kDocument);
  CHECK(fixture.FindCustomer({}) == "?");
  CHECK(fixture.FindCustomer({ { "Authorization", "Bearer n3" } }) == "?");
  CHECK(fixture.FindCustomer({ { "Authorization", "Bearer " } }) == "?");
  CHECK(fixture.FindCustomer({ { "Authorization", "Basic n1" } }) == "?");
  CHECK(fixture.FindCustomer({ { "Authorization", "Bearer n1" },
                               { "Authorization", "Bearer s1" } }) == "?");
}

TEST_CASE("a key that a newer configuration drops is denied")
{
  Fixture fixture;
  fixture.m_active->ApplyIfNewer(kDocument);
  fixture.m_active->ApplyIfNewer(
    R"({"generation":2,"customers":[{"name":"north","keys":["n2"]}]})");
  CHECK(fixture.FindCustomer({ { "Authorization", "Bearer n1" } }) == "?");
  CHECK(fixture.FindCustomer({ { "Authorization", "Bearer n2" } }) == "north");
}

TEST_CASE("requests need no key without customers, unless settings require it")
{
  const bool isRequired = GENERATE(false, true);
  Fixture fixture({ isRequired });
  // Nothing is decided before the first configuration.
  CHECK(fixture.FindCustomer({}) == "-");
  fixture.m_active->ApplyIfNewer(isRequired ? kDocument : kWithoutCustomers);
  CHECK(fixture.FindCustomer({}) == (isRequired ? "?" : ""));
  CHECK(fixture.m_authenticator.AreKeysNeeded() == isRequired);
  const Access onPublicRoute = fixture.m_authenticator.Authenticate({}, true);
  CHECK(std::holds_alternative<AnonymousAccess>(onPublicRoute));
}

// Guards against requests without keys after a host of an earlier release has
// passed on the configuration without its customers (the keys it does not
// know).
TEST_CASE("a document without customers is rejected if customers are required")
{
  Fixture fixture({ .m_required = true });
  fixture.m_active->ApplyIfNewer(kWithoutCustomers);
  CHECK(fixture.m_active->Read()->m_generation == 0);
  CHECK(fixture.FindCustomer({}) == "-");
  fixture.m_active->ApplyIfNewer(kDocument);
  // Newer than the one in force.
  fixture.m_active->ApplyIfNewer(kWithoutCustomers);
  CHECK(fixture.m_active->Read()->m_generation == 1);
  CHECK(fixture.FindCustomer({ { "Authorization", "Bearer n1" } }) == "north");
  CHECK(fixture.m_counters.Get("configuration.invalid").m_value.load() == 2);
  // A rejected document does not stand in the way of the same generation.
  fixture.m_active->ApplyIfNewer(
    R"({"generation":2,"customers":[{"name":"north","keys":["n2"]}]})");
  CHECK(fixture.m_active->Read()->m_generation == 2);
}

// Guards against a final denial by a host that cannot have heard of a new key.
TEST_CASE("an unknown key is undecided if the configuration may be old")
{
  Fixture fixture;
  const bool isOld = GENERATE(false, true);
  fixture.m_active->ApplyIfNewer(kDocument);
  const auto confirmed = std::make_shared<objectstore::ConfirmedTime>();
  Authenticator authenticator(fixture.m_active, confirmed, {});
  authenticator.Start();
  confirmed->Advance(kernel::Now() -
                     std::chrono::milliseconds(isOld ? 4100 : 2000));
  const auto authenticate = [&](std::string aKey) {
    const std::vector<http::Header> headers{ { "Authorization",
                                               "Bearer " + std::move(aKey) } };
    return authenticator.Authenticate(headers, false);
  };
  CHECK(std::holds_alternative<AccessUndecided>(authenticate("n3")) == isOld);
  CHECK(std::holds_alternative<AccessDenied>(authenticate("n3")) == !isOld);
  CHECK(std::holds_alternative<CustomerAccess>(authenticate("n1")));
}

// Guards against revoked keys that stay valid at a host that is cut off.
TEST_CASE("with strict revocation keys count only while the configuration is "
          "confirmed")
{
  Fixture fixture;
  fixture.m_active->ApplyIfNewer(kDocument);
  const bool isStrict = GENERATE(false, true);
  const auto confirmed = std::make_shared<objectstore::ConfirmedTime>();
  CustomerSettings settings;
  settings.m_strictRevocation = isStrict;
  settings.m_revocationTime = std::chrono::seconds(2);
  Authenticator authenticator(fixture.m_active, confirmed, settings);
  authenticator.Start();
  const std::vector<http::Header> headers{ { "Authorization", "Bearer n1" } };
  const auto isAllowed = [&] {
    return std::holds_alternative<CustomerAccess>(
      authenticator.Authenticate(headers, false));
  };
  // Not confirmed at all.
  CHECK(isAllowed() == !isStrict);
  confirmed->Advance(kernel::Now() - std::chrono::milliseconds(2100));
  CHECK(isAllowed() == !isStrict);
  confirmed->Advance(kernel::Now() - std::chrono::milliseconds(1000));
  CHECK(isAllowed());
  CHECK(std::holds_alternative<AnonymousAccess>(
    authenticator.Authenticate({}, true)));
}

} // namespace heatherdeal::customers
