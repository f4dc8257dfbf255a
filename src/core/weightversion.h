#pragma once

#include <compare>
#include <cstdint>
#include <span>
#include <vector>

namespace heatherdeal::core {

/// Version number of a published set of weights; newer versions have larger
/// numbers.
struct WeightVersion
{
  uint64_t m_number = 0;

  auto operator<=>(const WeightVersion&) const = default;
};

/// The token range [m_begin, m_end) of a sample, produced by one weight
/// version.
struct VersionSpan
{
  uint32_t m_begin = 0;
  uint32_t m_end = 0;
  WeightVersion m_version;

  bool operator==(const VersionSpan&) const = default;
};

/// Appends aCount tokens produced by aVersion. Extends the last span if it has
/// the same version.
void
AppendTokens(std::vector<VersionSpan>& aSpans,
             uint32_t aCount,
             WeightVersion aVersion);

/// True if the spans cover the tokens [0, aTokenCount) without gaps or
/// overlaps.
bool
SpansCoverAllTokens(std::span<const VersionSpan> aSpans, uint32_t aTokenCount);

/// Returns the oldest version of the spans, or version 0 if there are no spans.
WeightVersion
OldestVersion(std::span<const VersionSpan> aSpans);

/// Returns by how many versions aOldest is older than aNewest; 0 if it is not
/// older.
uint64_t
VersionsBehind(WeightVersion aOldest, WeightVersion aNewest);

} // namespace heatherdeal::core
