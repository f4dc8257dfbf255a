// Tests the warnings for documents that are valid but probably not intended.

#include "catch2/catch.hpp"

#include "configuration/documentjson.h"
#include "configuration/documentwarnings.h"

namespace heatherdeal::configuration {

namespace {

/// Returns the paths of the warnings for a document, which must be valid.
std::vector<std::string>
FindPaths(std::string_view aText)
{
  const ParsedDocument parsed = ParseDocument(aText);
  REQUIRE(parsed.m_errors.empty());
  std::vector<std::string> paths;
  for (const DocumentWarning& warning : FindWarnings(parsed.m_document)) {
    CHECK(warning.m_text.find("secret") == std::string::npos);
    paths.push_back(warning.m_path);
  }
  return paths;
}

using Paths = std::vector<std::string>;

} // namespace

TEST_CASE("a document without oddities has no warnings")
{
  CHECK(FindPaths(R"({"services":[{"name":"s"}],"routes":[
    {"host":"h","prefix":"/a/","timeout_ms":100,"objective_ms":100,
     "services":[{"name":"s"}]},
    {"host":"h","prefix":"/a/b/","services":[{"name":"s"}]},
    {"host":"i","prefix":"/a/","services":[{"name":"s"}]}],
    "customers":[{"name":"n","keys":["secret"]}]})")
          .empty());
}

// Guards against routes that operators believe to be in use.
TEST_CASE("a route that never matches is reported")
{
  CHECK(FindPaths(R"({"services":[{"name":"s"}],"routes":[
    {"host":"h","prefix":"/a/","services":[{"name":"s"}]},
    {"host":"h","prefix":"/a/","services":[{"name":"s"}]}]})") ==
        Paths{ "$.routes[1]" });
}

TEST_CASE("a timeout that is shorter than the objective is reported")
{
  CHECK(FindPaths(R"({"services":[{"name":"s"}],"routes":[
    {"host":"h","prefix":"/a/","timeout_ms":99,"objective_ms":100,
     "services":[{"name":"s"}]}]})") == Paths{ "$.routes[0]" });
}

TEST_CASE("a service that nothing uses is reported")
{
  CHECK(FindPaths(R"({"services":[{"name":"s"},{"name":"t"}],"routes":[
    {"host":"h","prefix":"/a/","services":[{"name":"s"}]}]})") ==
        Paths{ "$.services[1]" });
}

TEST_CASE("a customer without keys is reported")
{
  CHECK(FindPaths(R"({"customers":[{"name":"n","keys":["secret"]},
    {"name":"m","keys":[]}]})") == Paths{ "$.customers[1]" });
}

} // namespace heatherdeal::configuration
