#include "kernel/settingsreader.h"

#include "boost/json/parse.hpp"
#include "catch2/catch.hpp"

#include "kernel/json.h"

namespace heatherdeal::kernel {

namespace {

/// Reads fields of every type from the document and returns the errors.
std::vector<core::InvalidSetting>
CollectErrors(std::string_view aText)
{
  static constexpr std::string_view kColours[] = { "red", "blue" };
  SettingsErrors errors;
  const auto value = boost::json::parse(JsonView(aText));
  {
    SettingsReader reader(value, "$", errors);
    reader.Text("name");
    reader.IntegerOr("count", { 1, 9 }, 3);
    reader.NumberOr("share", 0.0, 1.0, 0.5);
    reader.FlagOr("flag", false);
    reader.MillisecondsOr("time_ms", { 0, 1000 }, {});
    reader.ChoiceOr("colour", kColours, 0);
    reader.OptionalTexts("list");
  }
  return errors.m_errors;
}

} // namespace

TEST_CASE(
  "each invalid setting is reported with its path, value and expected value")
{
  struct Case
  {
    const char* m_text;
    const char* m_path;
    const char* m_value;
  };
  const std::vector<Case> cases{
    { R"({})", "$.name", "(missing)" },
    { R"({"name":""})", "$.name", "\"\"" },
    { R"({"name":7})", "$.name", "7" },
    { R"({"name":"a","count":0})", "$.count", "0" },
    { R"({"name":"a","count":10})", "$.count", "10" },
    { R"({"name":"a","count":2.5})", "$.count", "2.5E0" },
    { R"({"name":"a","count":"2"})", "$.count", "\"2\"" },
    { R"({"name":"a","count":99999999999999999999})", "$.count", "1E20" },
    { R"({"name":"a","share":2})", "$.share", "2" },
    { R"({"name":"a","flag":1})", "$.flag", "1" },
    { R"({"name":"a","time_ms":-1})", "$.time_ms", "-1" },
    { R"({"name":"a","colour":"green"})", "$.colour", "\"green\"" },
    { R"({"name":"a","list":{}})", "$.list", "{}" },
    { R"({"name":"a","list":["b",3]})", "$.list[1]", "3" },
    { R"({"name":"a","nmae":"b"})", "$.nmae", "\"b\"" },
    { R"([])", "$", "[]" },
  };
  for (const Case& c : cases) {
    INFO(c.m_text);
    const auto errors = CollectErrors(c.m_text);
    REQUIRE(errors.size() == 1);
    CHECK(errors.front().m_path == c.m_path);
    CHECK(errors.front().m_value == c.m_value);
    CHECK_FALSE(errors.front().m_expected.empty());
  }
}

TEST_CASE("all errors of a document are reported")
{
  CHECK(CollectErrors(R"({"count":0,"flag":2,"x":1})").size() == 4);
}

TEST_CASE("malformed JSON is an invalid-input failure")
{
  const std::string deeplyNested(200, '[');
  for (const std::string& text :
       { std::string(), std::string("{"), std::string("nul"), deeplyNested }) {
    const auto parsed = ParseJson(text, "body");
    REQUIRE_FALSE(parsed.ok());
    const auto failure = core::FailureFromStatus(parsed.status());
    REQUIRE(failure.has_value());
    CHECK(core::KindOf(*failure) == "invalid-input");
  }
}

} // namespace heatherdeal::kernel
