#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "boost/json/value.hpp"

#include "core/sample.h"
#include "standin/engine/generation.h"

namespace heatherdeal::standin {

/// What a trainer was given, checked against what it should have been given.
/// Shares no code with the service's own bookkeeping.
struct Ledger
{
  std::map<core::SampleId, uint32_t> m_deliveries;
  std::map<uint64_t, uint64_t> m_tokensByVersion;
  uint64_t m_wrongTexts = 0;
  uint64_t m_wrongSpans = 0;
  uint64_t m_tooOld = 0;
  uint64_t m_incompleteGroups = 0;
  uint64_t m_samples = 0;
  uint64_t m_stalenessSum = 0;
  uint64_t m_stalenessMax = 0;
};

/// What the trainer expects of a sample.
struct Expectation
{
  LengthModel m_lengths;
  uint32_t m_maxTokens = 0;
  uint32_t m_samplesPerGroup = 0;
  uint64_t m_stalenessBound = 0;
  uint64_t m_trainerVersion = 0;
};

void
NoteGroup(Ledger& aLedger,
          const core::Group& aGroup,
          const Expectation& aExpectation);

/// Samples delivered more than once.
uint64_t
Duplicates(const Ledger& aLedger);

/// Samples of the first aGroups groups that were never delivered.
uint64_t
Missing(const Ledger& aLedger, uint64_t aGroups, uint32_t aSamplesPerGroup);

} // namespace heatherdeal::standin
