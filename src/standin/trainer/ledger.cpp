#include "standin/trainer/ledger.h"

#include <algorithm>

namespace heatherdeal::standin {

namespace {

// The seed of a sample is its group ordinal times this plus its member, as in
// the requests to the engines.
constexpr uint64_t kSeedsPerGroup = 1024;

bool
IsExpectedText(const core::Sample& aSample,
               std::string_view aPrompt,
               const Expectation& aExpectation)
{
  const uint64_t seed =
    aSample.m_id.m_group * kSeedsPerGroup + aSample.m_id.m_member;
  const uint32_t tokenCount = ResponseLength(
    aExpectation.m_lengthModel, aPrompt, seed, aExpectation.m_maxTokens);
  if (aSample.m_tokens != tokenCount) {
    return false;
  }
  std::string text;
  for (uint32_t i = 0; i < tokenCount; ++i) {
    text += TokenText(aPrompt, seed, i);
  }
  return text == aSample.m_text;
}

/// True if the version spans cover each token exactly once, in order.
bool
CoversEachToken(const core::Sample& aSample)
{
  uint32_t nextToken = 0;
  for (const core::VersionSpan& span : aSample.m_spans) {
    if (span.m_begin != nextToken || span.m_end <= span.m_begin) {
      return false;
    }
    nextToken = span.m_end;
  }
  return nextToken == aSample.m_tokens;
}

void
RecordVersions(Ledger& aLedger,
               const core::Sample& aSample,
               const Expectation& aExpectation)
{
  uint64_t oldest = aExpectation.m_trainerVersion;
  for (const core::VersionSpan& span : aSample.m_spans) {
    oldest = std::min(oldest, span.m_version.m_number);
    aLedger.m_tokensByVersion[span.m_version.m_number] +=
      span.m_end - span.m_begin;
  }
  const uint64_t staleness = aExpectation.m_trainerVersion - oldest;
  aLedger.m_stalenessSum += staleness;
  aLedger.m_stalenessMax = std::max(aLedger.m_stalenessMax, staleness);
  aLedger.m_staleSamples += staleness > aExpectation.m_stalenessBound ? 1 : 0;
}

} // namespace

void
RecordGroup(Ledger& aLedger,
            const core::Group& aGroup,
            const Expectation& aExpectation)
{
  if (aGroup.m_samples.size() != aExpectation.m_samplesPerGroup) {
    aLedger.m_incompleteGroups += 1;
  }
  for (const core::Sample& sample : aGroup.m_samples) {
    aLedger.m_sampleCount += 1;
    aLedger.m_deliveriesBySample[sample.m_id] += 1;
    aLedger.m_wrongTexts +=
      IsExpectedText(sample, aGroup.m_prompt, aExpectation) ? 0 : 1;
    aLedger.m_wrongSpans += CoversEachToken(sample) ? 0 : 1;
    RecordVersions(aLedger, sample, aExpectation);
  }
}

uint64_t
CountDuplicates(const Ledger& aLedger)
{
  return static_cast<uint64_t>(
    std::ranges::count_if(aLedger.m_deliveriesBySample, [](const auto& aEntry) {
      return aEntry.second > 1;
    }));
}

uint64_t
CountMissing(const Ledger& aLedger,
             uint64_t aGroupCount,
             uint32_t aSamplesPerGroup)
{
  uint64_t missing = 0;
  for (core::GroupOrdinal group = 0; group < aGroupCount; ++group) {
    for (uint32_t member = 0; member < aSamplesPerGroup; ++member) {
      missing +=
        aLedger.m_deliveriesBySample.contains({ group, member }) ? 0 : 1;
    }
  }
  return missing;
}

} // namespace heatherdeal::standin
