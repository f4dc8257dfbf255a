#include "standin/trainer/ledger.h"

#include <algorithm>

namespace heatherdeal::standin {

namespace {

// The seed of a sample is its group ordinal times this plus its member, as in
// the requests to the engines.
constexpr uint64_t kMembers = 1024;

bool
IsExpectedText(const core::Sample& aSample,
               std::string_view aPrompt,
               const Expectation& aExpectation)
{
  const uint64_t seed = aSample.m_id.m_group * kMembers + aSample.m_id.m_member;
  const uint32_t length =
    LengthOf(aExpectation.m_lengths, aPrompt, seed, aExpectation.m_maxTokens);
  if (aSample.m_tokens != length) {
    return false;
  }
  std::string text;
  for (uint32_t i = 0; i < length; ++i) {
    text += TokenText(aPrompt, seed, i);
  }
  return text == aSample.m_text;
}

/// True if the version spans cover each token exactly once, in order.
bool
NamesEachToken(const core::Sample& aSample)
{
  uint32_t next = 0;
  for (const core::VersionSpan& span : aSample.m_spans) {
    if (span.m_begin != next || span.m_end <= span.m_begin) {
      return false;
    }
    next = span.m_end;
  }
  return next == aSample.m_tokens;
}

void
NoteVersions(Ledger& aLedger,
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
  aLedger.m_tooOld += staleness > aExpectation.m_stalenessBound ? 1 : 0;
}

} // namespace

void
NoteGroup(Ledger& aLedger,
          const core::Group& aGroup,
          const Expectation& aExpectation)
{
  if (aGroup.m_samples.size() != aExpectation.m_samplesPerGroup) {
    aLedger.m_incompleteGroups += 1;
  }
  for (const core::Sample& sample : aGroup.m_samples) {
    aLedger.m_samples += 1;
    aLedger.m_deliveries[sample.m_id] += 1;
    aLedger.m_wrongTexts +=
      IsExpectedText(sample, aGroup.m_prompt, aExpectation) ? 0 : 1;
    aLedger.m_wrongSpans += NamesEachToken(sample) ? 0 : 1;
    NoteVersions(aLedger, sample, aExpectation);
  }
}

uint64_t
Duplicates(const Ledger& aLedger)
{
  return static_cast<uint64_t>(
    std::ranges::count_if(aLedger.m_deliveries, [](const auto& aEntry) {
      return aEntry.second > 1;
    }));
}

uint64_t
Missing(const Ledger& aLedger, uint64_t aGroups, uint32_t aSamplesPerGroup)
{
  uint64_t missing = 0;
  for (core::GroupOrdinal group = 0; group < aGroups; ++group) {
    for (uint32_t member = 0; member < aSamplesPerGroup; ++member) {
      missing += aLedger.m_deliveries.contains({ group, member }) ? 0 : 1;
    }
  }
  return missing;
}

} // namespace heatherdeal::standin
