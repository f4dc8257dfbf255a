#include "discovery/addresses.h"

#include "catch2/catch.hpp"

namespace heatherdeal::discovery {

TEST_CASE("addresses are local first, rotated, and exclude leaving hosts")
{
  const std::vector<Candidate> candidates{
    { { "10.0.0.1", 1 }, { "a" }, false },
    { { "10.0.0.2", 1 }, { "b" }, false },
    { { "10.0.0.3", 1 }, { "b" }, true },
    { { "10.0.0.4", 1 }, { "b" }, false },
  };
  const auto addresses = ChooseAddresses(candidates, "b", 0, 4);
  REQUIRE(addresses.size() == 3);
  CHECK(addresses[0].m_address == "10.0.0.2");
  CHECK(addresses[1].m_address == "10.0.0.4");
  CHECK(addresses[2].m_address == "10.0.0.1");
  CHECK(ChooseAddresses(candidates, "b", 1, 1).front().m_address == "10.0.0.4");
  CHECK(ChooseAddresses(candidates, "unknown", 0, 2).size() == 2);
  CHECK(ChooseAddresses({}, "b", 0, 2).empty());
}

} // namespace heatherdeal::discovery
