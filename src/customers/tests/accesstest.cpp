// Tests the decision about a request by its API key.

#include "catch2/catch.hpp"

#include "customers/access.h"
#include "customers/keyindex.h"

namespace heatherdeal::customers {

namespace {

const core::Instant kNow{ std::chrono::seconds(100) };

} // namespace

// Guards against requests of an unknown customer that run.
TEST_CASE("a request needs a key that a customer has")
{
  AccessFacts facts;
  CHECK(std::holds_alternative<AnonymousAccess>(DecideAccess(facts, kNow)));
  facts.m_needsKey = true;
  CHECK(std::holds_alternative<AccessDenied>(DecideAccess(facts, kNow)));
  facts.m_customer = core::CustomerId{ "north" };
  const Access access = DecideAccess(facts, kNow);
  REQUIRE(std::holds_alternative<CustomerAccess>(access));
  CHECK(std::get<CustomerAccess>(access).m_customer.m_value == "north");
}

// Guards against keys that stay valid at a host that cannot learn of their
// revocation, and against a final denial by a host that cannot know a new key.
TEST_CASE("a host that is out of date does not decide on keys")
{
  AccessFacts facts;
  facts.m_needsKey = true;
  facts.m_keysValidUntil = kNow;
  facts.m_unknownKeysUntil = kNow;
  const core::Instant later = kNow + std::chrono::milliseconds(1);
  CHECK(std::holds_alternative<AccessDenied>(DecideAccess(facts, kNow)));
  CHECK(std::holds_alternative<AccessUndecided>(DecideAccess(facts, later)));
  facts.m_customer = core::CustomerId{ "north" };
  CHECK(std::holds_alternative<CustomerAccess>(DecideAccess(facts, kNow)));
  CHECK(std::holds_alternative<AccessUndecided>(DecideAccess(facts, later)));
}

TEST_CASE("the index finds customers by the digests of their keys")
{
  KeyIndex index;
  KeyDigest digest{};
  digest[31] = 1;
  index.Add(digest, { "north" });
  REQUIRE(index.Find(digest) != nullptr);
  CHECK(index.Find(digest)->m_value == "north");
  digest[31] = 2;
  CHECK(index.Find(digest) == nullptr);
}

} // namespace heatherdeal::customers
