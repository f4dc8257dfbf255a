#include "configuration/documentjson.h"

#include <map>
#include <set>

#include "catch2/catch.hpp"

namespace heatherdeal::configuration {

namespace {

Route
MakeRoute(std::string aName, std::string aHost, std::string aPrefix)
{
  Route route;
  route.m_name = std::move(aName);
  route.m_host = std::move(aHost);
  route.m_prefix = std::move(aPrefix);
  route.m_services = { { { "s" }, 1 } };
  return route;
}

Document
DocumentWithThreeRoutes()
{
  Document document;
  document.m_generation = 4;
  Service service;
  service.m_name.m_value = "s";
  document.m_services = { service };
  document.m_routes = { MakeRoute("short", "a", "/p/"),
                        MakeRoute("long", "a", "/p/q/"),
                        MakeRoute("other", "b", "/p/") };
  document.m_routes[0].m_kind = StreamRequests{ true };
  document.m_routes[1].m_kind = BatchSubmissions{};
  return document;
}

std::string
FoundRouteName(std::string_view aHost, std::string_view aPath)
{
  const Document document = DocumentWithThreeRoutes();
  const Route* route = FindRoute(document, aHost, aPath);
  return route == nullptr ? "" : route->m_name;
}

} // namespace

TEST_CASE("a route is selected by host and longest matching prefix")
{
  CHECK(FoundRouteName("a", "/p/x") == "short");
  CHECK(FoundRouteName("a", "/p/q/x") == "long");
  CHECK(FoundRouteName("b", "/p/q/x") == "other");
  CHECK(FoundRouteName("a", "/px").empty());
  CHECK(FoundRouteName("c", "/p/x").empty());
}

TEST_CASE("requests of a route are distributed by service weight")
{
  Route route = MakeRoute("r", "a", "/");
  route.m_services = { { { "x" }, 3 }, { { "y" }, 0 }, { { "z" }, 1 } };
  std::map<std::string, int> counts;
  for (uint64_t sequenceNumber = 0; sequenceNumber < 400; ++sequenceNumber) {
    counts[ChooseService(route, sequenceNumber).m_value] += 1;
  }
  CHECK(counts["x"] == 300);
  CHECK(counts["y"] == 0);
  CHECK(counts["z"] == 100);
}

// Guards against a call whose attempts all go to the same service of its split
// route.
TEST_CASE("successive attempts alternate between the services of a route")
{
  Route route = MakeRoute("r", "a", "/");
  route.m_services = { { { "x" }, 50 }, { { "y" }, 50 } };
  for (uint64_t sequenceNumber = 0; sequenceNumber < 400; ++sequenceNumber) {
    std::set<std::string> services;
    for (uint64_t attempt = 0; attempt < 3; ++attempt) {
      services.insert(ChooseService(route, sequenceNumber + attempt).m_value);
    }
    CHECK(services.size() == 2);
  }
}

TEST_CASE("routes and limits round-trip through JSON")
{
  const Document document = DocumentWithThreeRoutes();
  const ParsedDocument parsed = ParseDocument(ToJson(document));
  REQUIRE(parsed.m_errors.empty());
  CHECK(ToJson(parsed.m_document) == ToJson(document));
}

TEST_CASE("a route without slashes or with an unknown service is invalid")
{
  Document document = DocumentWithThreeRoutes();
  document.m_routes[0].m_prefix = "p";
  document.m_routes[2].m_services = { { { "nobody" }, 1 } };
  CHECK(Validate(document).size() == 2);
}

// Guards against a name in default documents that hosts of the last release
// reject.
TEST_CASE("a document names routing by expected work only if it is configured")
{
  Document document = DocumentWithThreeRoutes();
  CHECK(ToJson(document).find("two-choices") != std::string::npos);
  CHECK(ToJson(document).find("least-expected-work") == std::string::npos);
  document.m_services[0].m_routing = LeastExpectedWork{ 20 };
  const ParsedDocument parsed = ParseDocument(ToJson(document));
  REQUIRE(parsed.m_errors.empty());
  CHECK(std::get<LeastExpectedWork>(parsed.m_document.m_services[0].m_routing)
          .m_domainPreferencePercent == 20);
}

} // namespace heatherdeal::configuration
