#pragma once

#include <compare>
#include <cstdint>
#include <span>
#include <vector>

namespace heatherdeal::core {

/// Number of a published set of weights; a later one is larger.
struct WeightVersion
{
  uint64_t m_number = 0;

  auto operator<=>(const WeightVersion&) const = default;
};

/// Tokens [m_begin, m_end) of a sample, all produced by one version.
struct VersionSpan
{
  uint32_t m_begin = 0;
  uint32_t m_end = 0;
  WeightVersion m_version;

  bool operator==(const VersionSpan&) const = default;
};

/// Appends aCount tokens of aVersion; extends the last span where it can.
void
AppendTokens(std::vector<VersionSpan>& aSpans,
             uint32_t aCount,
             WeightVersion aVersion);

/// True if the spans cover [0, aTokens) without gap or overlap.
bool
SpansCover(std::span<const VersionSpan> aSpans, uint32_t aTokens);

/// The oldest version named; version 0 if there is no span.
WeightVersion
OldestVersion(std::span<const VersionSpan> aSpans);

/// How many versions aOldest lies behind aNewest; 0 if it does not.
uint64_t
VersionsBehind(WeightVersion aOldest, WeightVersion aNewest);

} // namespace heatherdeal::core
