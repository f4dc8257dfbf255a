#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "boost/json/value.hpp"

namespace heatherdeal::audit {

/// Counts over everything that the stand-ins of one deployment observed.
struct Findings
{
  uint64_t m_samples = 0;
  uint64_t m_duplicateSamples = 0;
  uint64_t m_missingSamples = 0;
  uint64_t m_incompleteGroups = 0;
  uint64_t m_wrongTexts = 0;
  uint64_t m_wrongSpans = 0;
  /// Samples whose weight version is staler than allowed.
  uint64_t m_tooStaleSamples = 0;
  /// Tokens attributed to a version beyond those that engines generated with
  /// it.
  uint64_t m_misattributedTokens = 0;
  uint64_t m_stalenessSum = 0;
  uint64_t m_stalenessMax = 0;
  uint64_t m_weightVersions = 0;
  /// Sum of the trainers' idle shares.
  double m_idleShareSum = 0.0;
  uint64_t m_trainers = 0;
  uint64_t m_unfinishedTrainers = 0;
  uint64_t m_requests = 0;
  uint64_t m_failedRequests = 0;
  /// Requests whose response was cut off or never came.
  uint64_t m_unansweredRequests = 0;
  uint64_t m_wrongResponses = 0;
  /// Submissions that ran more than once.
  uint64_t m_repeatedSubmissions = 0;
  /// Submissions reported as not run that did run.
  uint64_t m_ranButReportedNotRun = 0;
  /// Submissions answered with success that never ran.
  uint64_t m_answeredButNotRun = 0;
};

/// The bodies of GET /seen, by kind of stand-in.
struct Observations
{
  std::vector<boost::json::value> m_trainers;
  std::vector<boost::json::value> m_callers;
  std::vector<boost::json::value> m_plainServices;
  std::vector<boost::json::value> m_engines;
};

/// Aggregates the observations into counts.
Findings
ComputeFindings(const Observations& aObservations);

/// Returns one line with its count for each guarantee that was violated.
std::vector<std::string>
DescribeViolations(const Findings& aFindings);

/// Returns the findings as a table for a terminal.
std::string
FormatTable(std::string_view aDeployment, const Findings& aFindings);

} // namespace heatherdeal::audit
