// Parses arbitrary text as the body of a trainer's pull. The cursor of an
// accepted pull must be well formed.

#include <cstdint>
#include <string_view>

#include "rollout/internal/pulljson.h"

extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace heatherdeal;
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  const auto pull = rollout::ParsePull(text);
  if (pull.ok() && !delivery::IsWellFormed(pull->m_cursor.m_done)) {
    __builtin_trap();
  }
  return 0;
}
