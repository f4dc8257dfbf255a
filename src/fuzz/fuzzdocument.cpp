// Configurations as an operator could submit them.

#include <cstdint>
#include <string_view>

#include "configuration/documentjson.h"

extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace heatherdeal::configuration;
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  const ParsedDocument parsed = ParseDocument(text);
  if (parsed.m_errors.empty()) {
    const std::string printed = ToJson(parsed.m_document);
    const ParsedDocument again = ParseDocument(printed);
    if (!again.m_errors.empty() || ToJson(again.m_document) != printed) {
      __builtin_trap();
    }
  }
  return 0;
}
