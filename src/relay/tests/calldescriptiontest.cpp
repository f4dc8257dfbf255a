#include "relay/internal/calldescription.h"

#include "catch2/catch.hpp"

namespace heatherdeal::relay {

// Guards against calls that the other host refuses, because a field is empty or
// a number is at its end.
TEST_CASE("every description of a call is read back")
{
  const std::vector<std::string> texts{ "", "id", "\"\\\n", "\xc3\xa9" };
  for (const std::string& text : texts) {
    for (const uint64_t number : { uint64_t(0), uint64_t(INT64_MAX) }) {
      CallDescription description;
      description.m_id = text;
      description.m_route = text;
      description.m_generation = number;
      description.m_timeLeftMs = number == 0 ? 0 : kMaxTimeLeftMs;
      description.m_fingerprint = number == 0 ? 0 : UINT64_MAX;
      description.m_position = ResumeStream{ { text } };
      description.m_customer.m_value = text;
      const auto back = ParseDescription(ToJson(description));
      REQUIRE(back.ok());
      CHECK(ToJson(*back) == ToJson(description));
      CHECK(back->m_fingerprint == description.m_fingerprint);
    }
  }
}

TEST_CASE("a malformed description is invalid input")
{
  for (const std::string_view text : { "", "{}", "[]", R"({"id":7})" }) {
    INFO(text);
    CHECK_FALSE(ParseDescription(text).ok());
  }
}

} // namespace heatherdeal::relay
