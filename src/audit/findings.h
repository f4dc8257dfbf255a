#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "boost/json/value.hpp"

namespace heatherdeal::audit {

/// What the stand-ins of one deployment saw, added up.
struct Findings
{
  uint64_t m_samples = 0;
  uint64_t m_duplicates = 0;
  uint64_t m_missing = 0;
  uint64_t m_incompleteGroups = 0;
  uint64_t m_wrongTexts = 0;
  uint64_t m_wrongSpans = 0;
  uint64_t m_tooOld = 0;
  uint64_t m_misnamedVersions = 0;
  uint64_t m_stalenessSum = 0;
  uint64_t m_stalenessMax = 0;
  uint64_t m_versions = 0;
  double m_idleSum = 0.0;
  uint64_t m_trainers = 0;
  uint64_t m_unfinishedTrainers = 0;
  uint64_t m_requests = 0;
  uint64_t m_failures = 0;
  uint64_t m_unanswered = 0;
  uint64_t m_wrongAnswers = 0;
  uint64_t m_ranTwice = 0;
  uint64_t m_falselySaidNotRun = 0;
  uint64_t m_answeredNotRun = 0;
};

/// What GET /seen gave, from each kind of stand-in.
struct Sightings
{
  std::vector<boost::json::value> m_trainers;
  std::vector<boost::json::value> m_callers;
  std::vector<boost::json::value> m_plainServices;
  std::vector<boost::json::value> m_engines;
};

Findings
Judge(const Sightings& aSightings);

/// The promises that the findings show to be broken, a line each.
std::vector<std::string>
BrokenPromises(const Findings& aFindings);

/// The findings as a table for people.
std::string
ToTable(std::string_view aDeployment, const Findings& aFindings);

} // namespace heatherdeal::audit
