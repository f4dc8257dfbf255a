#include "core/utf8.h"

#include "boost/locale/utf.hpp"

namespace heatherdeal::core {

bool
IsUtf8(std::string_view aBytes)
{
  namespace utf = boost::locale::utf;
  const char* next = aBytes.data();
  const char* end = next + aBytes.size();
  while (next != end) {
    const utf::code_point codePoint = utf::utf_traits<char>::decode(next, end);
    if (codePoint == utf::illegal || codePoint == utf::incomplete) {
      return false;
    }
  }
  return true;
}

} // namespace heatherdeal::core
