// Parses arbitrary text as a scenario script.

#include <cstdint>
#include <string_view>

#include "scenario/script.h"

extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  (void)heatherdeal::scenario::ParseScript(text);
  return 0;
}
