#include "kernel/partialjson.h"

#include "boost/json/serialize.hpp"
#include "catch2/catch.hpp"

#include "core/tests/anyvalues.h"
#include "kernel/json.h"

namespace heatherdeal::kernel {

namespace {

namespace json = boost::json;

bool
IsElement(const json::value& aValue)
{
  const json::object* object = aValue.if_object();
  return object != nullptr && object->contains("name");
}

/// Returns the document with null for what can't be read, or "" if nothing can.
std::string
Parse(std::string_view aText)
{
  static constexpr std::string_view kWhole[] = { "spec" };
  const auto value = ParsePartialJson(aText, "list", { kWhole, IsElement });
  return value.ok() ? json::serialize(*value) : std::string();
}

} // namespace

TEST_CASE("a part that can't be read becomes null and the others are kept")
{
  struct Case
  {
    std::string m_text;
    std::string m_expected;
  };
  const std::vector<Case> cases{
    { R"({"a":1,"b":[true,null]})", R"({"a":1,"b":[true,null]})" },
    { "{\"a\":\"\xff\xfe\",\"b\":2}", R"({"a":null,"b":2})" },
    { R"({"a":"\q","b":2})", R"({"a":null,"b":2})" },
    { R"({"a":"\ud800","b":2})", R"({"a":null,"b":2})" },
    { "{\"a\":\"x\ny\",\"b\":2}", R"({"a":null,"b":2})" },
    { R"({"a":1e99999999999,"b":2})", R"({"a":null,"b":2})" },
    { R"({"a":nul,"b":2})", R"({"a":null,"b":2})" },
    { "[{\"name\":\"\xff\"},{\"name\":\"n\"}]",
      R"([{"name":null},{"name":"n"}])" },
    // Of a whole member nothing is kept.
    { R"([{"name":"a","spec":{"x":1,"y":"\q"}},{"name":"b","spec":{"x":2}}])",
      R"([{"name":"a","spec":null},{"name":"b","spec":{"x":2}}])" },
    // Brackets that don't match cost their element only.
    { R"({"items":[{"name":"a","spec":{"x":1},{"name":"b"}],"revision":9})",
      R"({"items":[{"name":"a","spec":{"x":1}},{"name":"b"}],"revision":9})" },
    { R"({"items":[{"name":"a","spec":{"x":[1}},{"name":"b"}],"revision":9})",
      R"({"items":[{"name":"a","spec":null},{"name":"b"}],"revision":9})" },
    { R"({"items":[{"name":"a"}},{"name":"b"}],"revision":9})",
      R"({"items":[{"name":"a"},{"name":"b"}],"revision":9})" },
    { R"({"items":[{"name":"b"},{"name":"a","spec":{"x":1}],"revision":9})",
      R"({"items":[{"name":"b"},{"name":"a","spec":{"x":1}}],"revision":9})" },
    { R"({"items":[{"name":"a","spec":{"x":"a"b"}},{"name":"b"}],"revision":9})",
      R"({"items":[{"name":"a","spec":null},{"name":"b"}],"revision":9})" },
    { R"({"items":[{"name":"a"},{"name":"b")",
      R"({"items":[{"name":"a"},{"name":"b"}]})" },
    { "", "" },
    { "garbage", "" },
    { "\"\xff\"", "" },
  };
  for (const Case& c : cases) {
    INFO(c.m_text);
    CHECK(Parse(c.m_text) == c.m_expected);
  }
}

TEST_CASE("a document of broken elements is read in bounded time")
{
  const std::string broken = R"({"name":"a","spec":[{},{},{},{},)";
  std::string text = "[";
  for (int i = 0; i < 30'000; ++i) {
    text += broken;
  }
  const std::string nested =
    std::string(200'000, '[') + std::string(200'000, ']');
  CHECK(Parse(text).size() < text.size());
  CHECK(Parse(R"({"a":)" + nested + R"(,"b":2})").ends_with(R"("b":2})"));
}

TEST_CASE("damage within one string leaves the other elements as they are")
{
  CHECK(rc::check([] {
    std::string damage = core::AnyBytes();
    std::erase_if(damage,
                  [](char aByte) { return aByte == '"' || aByte == '\\'; });
    const std::string text = R"({"items":[{"name":"a","spec":{"x":")" + damage +
                             R"("}},{"name":"b","spec":{"x":2}}],"end":9})";
    const std::string parsed = Parse(text);
    RC_ASSERT(parsed.ends_with(R"({"name":"b","spec":{"x":2}}],"end":9})"));
    RC_ASSERT(parsed.starts_with(R"({"items":[{"name":"a","spec":)"));
  }));
}

TEST_CASE("damage anywhere is survived")
{
  CHECK(rc::check([] {
    std::string text =
      R"({"items":[{"name":"a","spec":{"x":[1,"y",{"z":null}]}},
      {"name":"b","spec":{"x":2}},{"name":"c"}],"end":9})";
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      const auto position = *rc::gen::inRange<size_t>(0, text.size());
      const std::string bytes = core::AnyBytes().substr(0, 3);
      text.replace(position, *rc::gen::inRange<size_t>(0, 4), bytes);
    }
    // What is left of a document is a document, or there is nothing.
    const std::string parsed = Parse(text);
    RC_ASSERT(parsed.empty() || ParseJson(parsed, "parsed").ok());
  }));
}

} // namespace heatherdeal::kernel
