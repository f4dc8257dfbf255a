// Parses arbitrary text as a configuration that an operator submits. A valid
// document must survive printing and parsing unchanged.

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
    const std::string serialized = ToJson(parsed.m_document);
    const ParsedDocument reparsed = ParseDocument(serialized);
    if (!reparsed.m_errors.empty() ||
        ToJson(reparsed.m_document) != serialized) {
      __builtin_trap();
    }
  }
  return 0;
}
