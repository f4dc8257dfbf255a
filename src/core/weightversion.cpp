#include "core/weightversion.h"

#include <algorithm>

namespace heatherdeal::core {

void
AppendTokens(std::vector<VersionSpan>& aSpans,
             uint32_t aCount,
             WeightVersion aVersion)
{
  if (aCount == 0) {
    return;
  }
  if (!aSpans.empty() && aSpans.back().m_version == aVersion) {
    aSpans.back().m_end += aCount;
    return;
  }
  const uint32_t begin = aSpans.empty() ? 0 : aSpans.back().m_end;
  aSpans.push_back({ begin, begin + aCount, aVersion });
}

bool
SpansCoverAllTokens(std::span<const VersionSpan> aSpans, uint32_t aTokenCount)
{
  uint32_t nextToken = 0;
  for (const VersionSpan& span : aSpans) {
    if (span.m_begin != nextToken || span.m_end <= span.m_begin) {
      return false;
    }
    nextToken = span.m_end;
  }
  return nextToken == aTokenCount;
}

WeightVersion
OldestVersion(std::span<const VersionSpan> aSpans)
{
  if (aSpans.empty()) {
    return {};
  }
  const auto oldest =
    std::ranges::min_element(aSpans, {}, &VersionSpan::m_version);
  return oldest->m_version;
}

uint64_t
VersionsBehind(WeightVersion aOldest, WeightVersion aNewest)
{
  if (aOldest >= aNewest) {
    return 0;
  }
  return aNewest.m_number - aOldest.m_number;
}

} // namespace heatherdeal::core
