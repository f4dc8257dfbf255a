// Tests how the headers of a request lead to its customer.

#include "catch2/catch.hpp"

#include "customers/authenticator.h"
#include "kernel/counters.h"

namespace heatherdeal::customers {

namespace {

constexpr std::string_view kDocument = R"({"generation":1,"customers":[
  {"name":"north","keys":["n1","n2"]},{"name":"south","keys":["s1"]}]})";

struct Fixture
{
  kernel::Counters m_counters;
  std::shared_ptr<configuration::ActiveConfiguration> m_active =
    std::make_shared<configuration::ActiveConfiguration>(m_counters);
  Authenticator m_authenticator;

  explicit Fixture(const CustomerSettings& aSettings = {})
    : m_authenticator(m_active, aSettings)
  {
    m_authenticator.Start();
  }

  /// Returns the customer; "?" if the request is denied.
  std::string FindCustomer(std::vector<http::Header> aHeaders) const
  {
    const Access access = m_authenticator.Authenticate(aHeaders, false);
    if (const auto* allowed = std::get_if<CustomerAccess>(&access)) {
      return allowed->m_customer.m_value;
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
  CHECK(fixture.FindCustomer({}) == (isRequired ? "?" : ""));
  const Access onPublicRoute = fixture.m_authenticator.Authenticate({}, true);
  CHECK(std::holds_alternative<AnonymousAccess>(onPublicRoute));
}

} // namespace heatherdeal::customers
