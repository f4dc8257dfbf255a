// Tests the comparison of the named items of two documents.

#include "catch2/catch.hpp"

#include "configuration/itemdifference.h"

namespace heatherdeal::configuration {

TEST_CASE("added, removed and changed items are told apart")
{
  const std::vector<DocumentItem> before{ { "a", "1", "x" },
                                          { "b", "1", "x" },
                                          { "c", "1", "x" } };
  const std::vector<DocumentItem> now{ { "d", "1", "y" },
                                       { "c", "1", "x" },
                                       { "b", "2", "y" } };
  const std::vector<ItemDifference> differences = CompareItems(before, now);
  REQUIRE(differences.size() == 3);
  CHECK(std::get<ItemRemoved>(differences[0]).m_name == "a");
  CHECK(std::get<ItemChanged>(differences[1]).m_name == "b");
  CHECK(std::get<ItemChanged>(differences[1]).m_oldSummary == "x");
  CHECK(std::get<ItemChanged>(differences[1]).m_newSummary == "y");
  CHECK(std::get<ItemAdded>(differences[2]).m_name == "d");
}

// Guards against changed keys that are not reported because their number stays.
TEST_CASE("an item is changed although its summary is the same")
{
  const std::vector<DocumentItem> before{ { "a", "1", "2 keys" } };
  const std::vector<DocumentItem> now{ { "a", "2", "2 keys" } };
  CHECK(CompareItems(before, now).size() == 1);
  CHECK(CompareItems(before, before).empty());
}

} // namespace heatherdeal::configuration
