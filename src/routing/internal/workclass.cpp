#include "routing/workclass.h"

#include <bit>

#include "xxhash.h"

namespace heatherdeal::routing {

WorkKey
KeyOf(const WorkClass& aClass)
{
  const auto sizeBucket =
    static_cast<uint64_t>(std::bit_width(aClass.m_bodyBytes));
  const uint64_t seed =
    (static_cast<uint64_t>(aClass.m_kind) << 8) | sizeBucket;
  return { XXH64(aClass.m_route.data(), aClass.m_route.size(), seed) };
}

} // namespace heatherdeal::routing
