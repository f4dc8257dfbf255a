// Tests the customers of a document: their JSON and their validation.

#include "catch2/catch.hpp"

#include "configuration/documentjson.h"

namespace heatherdeal::configuration {

namespace {

Document
DocumentWithCustomers()
{
  Document document;
  document.m_generation = 4;
  document.m_services = { Service{ .m_name = { "s" } } };
  Route route;
  route.m_name = "r";
  route.m_host = "h";
  route.m_prefix = "/p/";
  route.m_isPublic = true;
  route.m_services = { { { "s" }, 1 } };
  document.m_routes = { route };
  document.m_customers = {
    { { "north" }, { "secret-n1", "secret-n2" }, 0 },
    { { "south" }, { "secret-s1" }, std::nullopt },
    { { "west" }, {}, 3 },
  };
  return document;
}

/// Returns the errors of the document, which must not contain a key.
std::vector<core::InvalidSetting>
FindErrors(const ParsedDocument& aParsed)
{
  for (const core::InvalidSetting& error : aParsed.m_errors) {
    const std::string text = error.m_path + error.m_value + error.m_expected +
                             core::Describe(core::Failure(error));
    INFO(text);
    CHECK(text.find("secret") == std::string::npos);
  }
  return aParsed.m_errors;
}

std::vector<core::InvalidSetting>
FindErrors(const Document& aDocument)
{
  return FindErrors(ParseDocument(ToJson(aDocument)));
}

std::vector<core::InvalidSetting>
FindErrorsOfCustomers(std::string_view aCustomers)
{
  return FindErrors(ParseDocument(R"({"generation":1,"customers":)" +
                                  std::string(aCustomers) + "}"));
}

} // namespace

TEST_CASE("customers and public routes round-trip through JSON")
{
  const Document document = DocumentWithCustomers();
  const ParsedDocument parsed = ParseDocument(ToJson(document));
  REQUIRE(FindErrors(parsed).empty());
  CHECK(ToJson(parsed.m_document) == ToJson(document));
  REQUIRE(parsed.m_document.m_customers.size() == 3);
  CHECK(parsed.m_document.m_customers[0].m_keys ==
        document.m_customers[0].m_keys);
  CHECK(parsed.m_document.m_customers[0].m_priority == 0U);
  CHECK_FALSE(parsed.m_document.m_customers[1].m_priority);
  CHECK(parsed.m_document.m_routes[0].m_isPublic);
}

// Guards against keys in what operators read, and against a document without
// keys that a host takes for the configuration.
TEST_CASE("the document for people has no keys and is not valid")
{
  const Document document = DocumentWithCustomers();
  const std::string text = ToJsonWithoutKeys(document);
  CHECK(text.find("secret") == std::string::npos);
  CHECK(text.find(R"("name":"north","keys":2)") != std::string::npos);
  CHECK_FALSE(ParseDocument(text).m_errors.empty());
  Document withoutCustomers = document;
  withoutCustomers.m_customers.clear();
  CHECK(ToJsonWithoutKeys(withoutCustomers) == ToJson(withoutCustomers));
}

// Guards against documents that hosts of earlier releases reject although they
// use nothing new.
TEST_CASE("a document without customers has no field for them")
{
  Document document = DocumentWithCustomers();
  document.m_customers.clear();
  document.m_routes[0].m_isPublic = false;
  CHECK(ToJson(document).find("customers") == std::string::npos);
  CHECK(ToJson(document).find("public") == std::string::npos);
}

TEST_CASE("a key belongs to one customer, once")
{
  Document document = DocumentWithCustomers();
  SECTION("two customers")
  {
    document.m_customers[2].m_keys = { "secret-n2" };
    const auto errors = FindErrors(document);
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].m_path == "$.customers[2].keys[0]");
    CHECK(errors[0].m_expected.find("north") != std::string::npos);
  }
  SECTION("twice for one")
  {
    document.m_customers[0].m_keys.emplace_back("secret-n1");
    const auto errors = FindErrors(document);
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].m_path == "$.customers[0].keys[2]");
  }
  SECTION("empty")
  {
    document.m_customers[1].m_keys.emplace_back("");
    CHECK(FindErrors(document).size() == 1);
  }
}

TEST_CASE("a customer has a name of its own")
{
  Document document = DocumentWithCustomers();
  document.m_customers[1].m_name.m_value = GENERATE("", "north");
  const auto errors = FindErrors(document);
  REQUIRE(errors.size() == 1);
  CHECK(errors[0].m_path == "$.customers[1].name");
}

// Guards against keys in logs, through the errors of a document that is not as
// it should be.
TEST_CASE("no error of a malformed document contains a key")
{
  for (const char* customers : {
         R"("secret")",
         R"({"keys":["secret"]})",
         R"(["secret"])",
         R"([["secret"]])",
         R"([{"name":"n","keys":"secret"}])",
         R"([{"name":"n","keys":{"secret":"secret"}}])",
         R"([{"name":"n","keys":[["secret"]]}])",
         R"([{"name":"n","keys":[{"secret":1}]}])",
         R"([{"name":"n","keys":[],"key":"secret"}])",
         R"([{"name":"n","kyes":["secret"]}])",
         R"([{"name":["secret"],"keys":[]}])",
         R"([{"name":"n","keys":[],"priority":"secret"}])",
         R"([{"name":"n","keys":[],"priority":["secret"]}])",
         R"([{"name":"n","keys":["secret","secret"]}])",
         R"([{"name":"n","keys":["secret"]},{"name":"m","keys":["secret"]}])",
       }) {
    INFO(customers);
    CHECK_FALSE(FindErrorsOfCustomers(customers).empty());
  }
  for (const char* document : {
         R"({"custommers":[{"name":"n","keys":["secret"]}]})",
         R"({"keys":"secret"})",
         R"({"routes":{"customers":[{"keys":["secret"]}]}})",
         R"({"routes":[{"keys":["secret"]}]})",
         R"({"generation":[{"keys":["secret"]}]})",
         R"([{"keys":["secret"]}])",
         R"({"customers":[{"keys":["secret"})",
       }) {
    INFO(document);
    CHECK_FALSE(FindErrors(ParseDocument(document)).empty());
  }
}

// Guards against numbers as keys in logs.
TEST_CASE("no error contains a key that is a number")
{
  for (const char* customers : { R"([{"name":"n","keys":[73190]}])",
                                 R"([{"name":"n","keys":73190}])",
                                 R"([{"name":"n","keys":[],"key":73190}])",
                                 R"([73190])",
                                 "73190" }) {
    const ParsedDocument parsed = ParseDocument(
      R"({"generation":1,"customers":)" + std::string(customers) + "}");
    REQUIRE_FALSE(parsed.m_errors.empty());
    for (const core::InvalidSetting& error : parsed.m_errors) {
      const std::string text = core::Describe(core::Failure(error));
      INFO(text);
      CHECK(text.find("73190") == std::string::npos);
    }
  }
}

TEST_CASE("a priority is a small number")
{
  for (const char* priority : { "-1", "1001", "\"1\"", "1.5" }) {
    CHECK(FindErrorsOfCustomers(R"([{"name":"n","keys":[],"priority":)" +
                                std::string(priority) + "}]")
            .size() == 1);
  }
}

} // namespace heatherdeal::configuration
