#include "scenario/script.h"

#include "catch2/catch.hpp"

namespace heatherdeal::scenario {

TEST_CASE("the parser reports the number of an invalid line")
{
  const std::vector<const char*> invalidLines{
    "at 2s crash engine-1",      "at 2 crash engine-1 for 1s",
    "at 2s crash pump-1 for 1s", "expect batches x by 3s",
    "expect miracles at 3s",     "set seed",
    "at -1s kill owner for 2s",  "resign owner",
  };
  for (const char* line : invalidLines) {
    INFO(line);
    const auto steps = ParseScript(std::string("# first\n") + line + "\n");
    REQUIRE_FALSE(steps.ok());
    CHECK(std::string(steps.status().message()).find("line 2") !=
          std::string::npos);
  }
}

TEST_CASE("an unmet expectation is reported with the value that was found")
{
  const auto steps = ParseScript("expect batches 1000 by 10s\n");
  REQUIRE(steps.ok());
  const auto unmet = RunScript(*steps);
  REQUIRE(unmet.ok());
  REQUIRE(unmet->size() == 1);
  CHECK(unmet->front().m_line == 1);
  CHECK(std::stoul(unmet->front().m_found) < 1000);
}

TEST_CASE("running a script with an unknown setting fails")
{
  const auto steps = ParseScript("set wings 2\n");
  REQUIRE(steps.ok());
  CHECK_FALSE(RunScript(*steps).ok());
}

} // namespace heatherdeal::scenario
