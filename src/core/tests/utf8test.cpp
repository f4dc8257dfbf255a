#include "core/utf8.h"

#include <string>
#include <vector>

#include "catch2/catch.hpp"

namespace heatherdeal::core {

TEST_CASE("valid UTF-8 is told from other bytes")
{
  for (const std::string& text : std::vector<std::string>{
         "",
         "a\n",
         std::string("\0", 1),
         "\xc3\xa9",
         "\xe2\x82\xac",
         "\xf4\x8f\xbf\xbf",
       }) {
    CHECK(IsUtf8(text));
  }
  for (const std::string& bytes : std::vector<std::string>{
         "\xff\xfe",
         "a\x80",
         "\xc3",
         "\xc0\x80",
         "\xe2\x82",
         "\xe2\x28\xa1",
         "\xed\xa0\x80",
         "\xf4\x90\x80\x80",
         "\xf8\x88\x80\x80\x80",
       }) {
    INFO(bytes);
    CHECK_FALSE(IsUtf8(bytes));
  }
}

} // namespace heatherdeal::core
