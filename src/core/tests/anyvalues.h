#pragma once

// Values for tests of what is written and read back.

#include <string>
#include <vector>

#include "rapidcheck.h"

namespace heatherdeal::core {

/// Texts of any UTF-8: empty ones, control characters, characters with a
/// meaning in JSON, and the first and last code points of each length.
inline rc::Gen<std::string>
GenerateText()
{
  const auto piece = rc::gen::element<std::string>("a",
                                                   " ",
                                                   "\n",
                                                   "\r",
                                                   "\"",
                                                   "\\",
                                                   "\\u",
                                                   std::string("\0", 1),
                                                   "\x01",
                                                   "\x1f",
                                                   "\x7f",
                                                   "\xc2\x80",
                                                   "\xdf\xbf",
                                                   "\xe0\xa0\x80",
                                                   "\xed\x9f\xbf",
                                                   "\xee\x80\x80",
                                                   "\xef\xbf\xbf",
                                                   "\xf0\x90\x80\x80",
                                                   "\xf4\x8f\xbf\xbf");
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(piece),
                      [](const std::vector<std::string>& aPieces) {
                        std::string text;
                        for (const std::string& part : aPieces) {
                          text += part;
                        }
                        return text;
                      });
}

inline std::string
AnyText()
{
  return *GenerateText();
}

/// Any bytes, also those that are no UTF-8.
inline std::string
AnyBytes()
{
  return *rc::gen::arbitrary<std::string>();
}

/// Numbers at the ends of a range.
template<typename Number>
Number
AnyNumber(Number aMax)
{
  return *rc::gen::element<Number>(0, 1, aMax / 2, aMax - 1, aMax);
}

} // namespace heatherdeal::core
