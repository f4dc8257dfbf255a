#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "boost/json/value.hpp"

#include "core/sample.h"
#include "standin/engine/generation.h"

namespace heatherdeal::standin {

/// Counts what a trainer received and how it differs from what was expected.
/// Shares no code with the delivery accounting of the service, so that a fault
/// there can't hide itself.
struct Ledger
{
  std::map<core::SampleId, uint32_t> m_deliveriesBySample;
  std::map<uint64_t, uint64_t> m_tokensByVersion;
  /// Samples whose text is not what the engines generate.
  uint64_t m_wrongTexts = 0;
  /// Samples whose version spans do not cover each token once.
  uint64_t m_wrongSpans = 0;
  /// Samples that exceed the staleness bound.
  uint64_t m_staleSamples = 0;
  uint64_t m_incompleteGroups = 0;
  uint64_t m_sampleCount = 0;
  /// Staleness in weight versions, over all samples.
  uint64_t m_stalenessSum = 0;
  uint64_t m_stalenessMax = 0;
};

/// What the trainer expects of each sample.
struct Expectation
{
  LengthModel m_lengthModel;
  uint32_t m_maxTokens = 0;
  uint32_t m_samplesPerGroup = 0;
  uint64_t m_stalenessBound = 0;
  uint64_t m_trainerVersion = 0;
};

/// Checks a received group and adds it to the ledger.
void
RecordGroup(Ledger& aLedger,
            const core::Group& aGroup,
            const Expectation& aExpectation);

/// Returns the number of samples that were delivered more than once.
uint64_t
CountDuplicates(const Ledger& aLedger);

/// Returns the number of samples of the first aGroupCount groups that were
/// never delivered.
uint64_t
CountMissing(const Ledger& aLedger,
             uint64_t aGroupCount,
             uint32_t aSamplesPerGroup);

} // namespace heatherdeal::standin
