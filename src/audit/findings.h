#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "boost/json/value.hpp"

namespace heatherdeal::audit {

/// Counts over everything that the stand-ins of one deployment
/// observed.
struct Findings
{
  uint64_t m_samples = 0;
  uint64_t m_duplicates = 0;
  uint64_t m_missing = 0;
  uint64_t m_incompleteGroups = 0;
  uint64_t m_wrongTexts = 0;
  uint64_t m_wrongSpans = 0;
  /// Samples whose weight version is staler than allowed.
  uint64_t m_tooOld = 0;
  /// Tokens attributed to a version beyond those that engines generated with
  /// it.
  uint64_t m_misnamedVersions = 0;
  uint64_t m_stalenessSum = 0;
  uint64_t m_stalenessMax = 0;
  uint64_t m_versions = 0;
  /// Sums over all trainers.
  double m_idleSum = 0.0;
  uint64_t m_trainers = 0;
  uint64_t m_unfinishedTrainers = 0;
  uint64_t m_requests = 0;
  uint64_t m_failures = 0;
  /// Requests whose response was cut off or never came.
  uint64_t m_unanswered = 0;
  uint64_t m_wrongAnswers = 0;
  /// Submissions that ran more than once.
  uint64_t m_ranTwice = 0;
  /// Submissions reported as not run that did run.
  uint64_t m_falselySaidNotRun = 0;
  /// Submissions answered with success that never ran.
  uint64_t m_answeredNotRun = 0;
};

/// The bodies of GET /seen, by kind of stand-in.
struct Sightings
{
  std::vector<boost::json::value> m_trainers;
  std::vector<boost::json::value> m_callers;
  std::vector<boost::json::value> m_plainServices;
  std::vector<boost::json::value> m_engines;
};

/// Aggregates the observations into counts.
Findings
Judge(const Sightings& aSightings);

/// Returns one line with its count for each guarantee that was violated.
std::vector<std::string>
BrokenPromises(const Findings& aFindings);

/// Returns the findings as a table for a terminal.
std::string
ToTable(std::string_view aDeployment, const Findings& aFindings);

} // namespace heatherdeal::audit
