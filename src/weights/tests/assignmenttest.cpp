#include "weights/assignment.h"

#include <algorithm>

#include "catch2/catch.hpp"

namespace heatherdeal::weights {

namespace {

using Engines = std::map<core::UpstreamId, VersionsByWeightSet>;

const VersionsByWeightSet kTwoSets{ { "a", { 4 } }, { "b", { 4 } } };

Engines
InitialEngines(size_t aCount)
{
  Engines engines;
  for (size_t i = 0; i < aCount; ++i) {
    engines[{ "e" + std::to_string(i) }] = { { "a", { 1 } }, { "b", { 1 } } };
  }
  return engines;
}

size_t
CountEngines(const Assignment& aAssignment, std::string_view aName)
{
  return static_cast<size_t>(
    std::ranges::count(aAssignment, aName, [](const auto& aEntry) {
      return std::string_view(aEntry.second);
    }));
}

} // namespace

TEST_CASE("engines are distributed evenly among weight sets")
{
  const Assignment assignment = AssignEngines({}, InitialEngines(9), kTwoSets);
  CHECK(assignment.size() == 9);
  CHECK(CountEngines(assignment, "a") == 5);
  CHECK(CountEngines(assignment, "b") == 4);
}

TEST_CASE("a single weight set gets all engines")
{
  const VersionsByWeightSet oneSet{ { "a", { 2 } } };
  CHECK(CountEngines(AssignEngines({}, InitialEngines(3), oneSet), "a") == 3);
}

TEST_CASE(
  "an engine keeps its weight set when other engines are added or removed")
{
  const Assignment before = AssignEngines({}, InitialEngines(4), kTwoSets);
  Engines changedEngines = InitialEngines(6);
  changedEngines.erase({ "e0" });
  const Assignment after = AssignEngines(before, changedEngines, kTwoSets);
  for (const auto& [engine, name] : before) {
    if (changedEngines.contains(engine)) {
      CHECK(after.at(engine) == name);
    }
  }
}

TEST_CASE("a new lease holder derives the assignment from the held versions")
{
  Engines engines = InitialEngines(4);
  engines[{ "e0" }]["b"] = { 3 };
  engines[{ "e1" }]["b"] = { 4 };
  const Assignment assignment = AssignEngines({}, engines, kTwoSets);
  CHECK(assignment.at({ "e0" }) == "b");
  CHECK(assignment.at({ "e1" }) == "b");
  CHECK(CountEngines(assignment, "a") == 2);
}

TEST_CASE("a weight set without engines gets some from the largest set")
{
  Engines engines = InitialEngines(4);
  Assignment before;
  for (const auto& [engine, versions] : engines) {
    before[engine] = "a";
  }
  const Assignment after = AssignEngines(before, engines, kTwoSets);
  CHECK(CountEngines(after, "a") == 2);
  CHECK(CountEngines(after, "b") == 2);
}

} // namespace heatherdeal::weights
