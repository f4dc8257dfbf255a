#include "audit/findings.h"

#include <algorithm>
#include <cstdio>

namespace heatherdeal::audit {

namespace {

using CountsByName = std::map<std::string, uint64_t>;

uint64_t
ReadCount(const boost::json::value& aObservation, const char* aName)
{
  return aObservation.at(aName).to_number<uint64_t>();
}

void
AddTokens(CountsByName& aTokens, const boost::json::value& aObservation)
{
  for (const auto& entry : aObservation.at("tokens_by_version").as_object()) {
    aTokens[std::string(entry.key())] += entry.value().to_number<uint64_t>();
  }
}

void
AddTrainer(Findings& aFindings, const boost::json::value& aObservation)
{
  aFindings.m_trainers += 1;
  aFindings.m_unfinishedTrainers += aObservation.at("done").as_bool() ? 0 : 1;
  aFindings.m_samples += ReadCount(aObservation, "samples");
  aFindings.m_duplicateSamples += ReadCount(aObservation, "duplicates");
  aFindings.m_missingSamples += ReadCount(aObservation, "missing");
  aFindings.m_incompleteGroups += ReadCount(aObservation, "incomplete_groups");
  aFindings.m_wrongTexts += ReadCount(aObservation, "wrong_texts");
  aFindings.m_wrongSpans += ReadCount(aObservation, "wrong_spans");
  aFindings.m_tooStaleSamples += ReadCount(aObservation, "too_old");
  aFindings.m_stalenessSum += ReadCount(aObservation, "staleness_sum");
  aFindings.m_stalenessMax = std::max(aFindings.m_stalenessMax,
                                      ReadCount(aObservation, "staleness_max"));
  aFindings.m_weightVersions =
    std::max(aFindings.m_weightVersions, ReadCount(aObservation, "version"));
  aFindings.m_idleShareSum += aObservation.at("idle_share").to_number<double>();
}

void
AddCaller(Findings& aFindings,
          const boost::json::value& aObservation,
          const CountsByName& aRunCounts)
{
  aFindings.m_requests += ReadCount(aObservation, "requests");
  aFindings.m_failedRequests += ReadCount(aObservation, "failures");
  aFindings.m_unansweredRequests += ReadCount(aObservation, "unanswered");
  aFindings.m_wrongResponses += ReadCount(aObservation, "wrong_answers");
  for (const auto& id : aObservation.at("said_not_run").as_array()) {
    aFindings.m_ranButReportedNotRun +=
      aRunCounts.contains(std::string(id.as_string())) ? 1 : 0;
  }
  for (const auto& id : aObservation.at("answered").as_array()) {
    aFindings.m_answeredButNotRun +=
      aRunCounts.contains(std::string(id.as_string())) ? 0 : 1;
  }
}

/// Returns the number of tokens that were attributed to a weight version to
/// trainers but that no engine generated with that version.
uint64_t
CountMisattributedTokens(const CountsByName& aAttributed,
                         const CountsByName& aGenerated)
{
  uint64_t misattributed = 0;
  for (const auto& [version, tokens] : aAttributed) {
    const auto generated = aGenerated.find(version);
    const uint64_t generatedTokens =
      generated == aGenerated.end() ? 0 : generated->second;
    misattributed += tokens > generatedTokens ? tokens - generatedTokens : 0;
  }
  return misattributed;
}

void
AddViolationIfAny(std::vector<std::string>& aViolations,
                  std::string_view aViolation,
                  uint64_t aCount)
{
  if (aCount > 0) {
    aViolations.push_back(std::string(aViolation) + ": " +
                          std::to_string(aCount));
  }
}

void
AddRow(std::string& aTable, std::string_view aName, std::string_view aValue)
{
  char line[128];
  std::snprintf(line,
                sizeof(line),
                "  %-34.*s %12.*s\n",
                static_cast<int>(aName.size()),
                aName.data(),
                static_cast<int>(aValue.size()),
                aValue.data());
  aTable += line;
}

std::string
FormatDecimal(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", aValue);
  return text;
}

} // namespace

Findings
ComputeFindings(const Observations& aObservations)
{
  Findings findings;
  CountsByName attributed;
  CountsByName generated;
  for (const boost::json::value& trainer : aObservations.m_trainers) {
    AddTrainer(findings, trainer);
    AddTokens(attributed, trainer);
  }
  for (const boost::json::value& engine : aObservations.m_engines) {
    AddTokens(generated, engine);
  }
  findings.m_misattributedTokens =
    CountMisattributedTokens(attributed, generated);
  CountsByName runCounts;
  for (const boost::json::value& plain : aObservations.m_plainServices) {
    for (const auto& run : plain.at("runs").as_object()) {
      runCounts[std::string(run.key())] += run.value().to_number<uint64_t>();
    }
  }
  for (const boost::json::value& caller : aObservations.m_callers) {
    AddCaller(findings, caller, runCounts);
    for (const char* list : { "answered", "unknown" }) {
      for (const auto& id : caller.at(list).as_array()) {
        const auto run = runCounts.find(std::string(id.as_string()));
        findings.m_repeatedSubmissions +=
          run != runCounts.end() && run->second > 1 ? 1 : 0;
      }
    }
  }
  return findings;
}

std::vector<std::string>
DescribeViolations(const Findings& aFindings)
{
  std::vector<std::string> violations;
  AddViolationIfAny(
    violations, "samples delivered twice", aFindings.m_duplicateSamples);
  AddViolationIfAny(violations, "samples missing", aFindings.m_missingSamples);
  AddViolationIfAny(
    violations, "groups incomplete", aFindings.m_incompleteGroups);
  AddViolationIfAny(
    violations, "samples with a wrong text", aFindings.m_wrongTexts);
  AddViolationIfAny(
    violations, "samples with wrong spans", aFindings.m_wrongSpans);
  AddViolationIfAny(violations,
                    "tokens attributed to a wrong weight version",
                    aFindings.m_misattributedTokens);
  AddViolationIfAny(violations,
                    "samples over the staleness bound",
                    aFindings.m_tooStaleSamples);
  AddViolationIfAny(
    violations, "unfinished trainers", aFindings.m_unfinishedTrainers);
  AddViolationIfAny(violations,
                    "requests with a truncated or no response",
                    aFindings.m_unansweredRequests);
  AddViolationIfAny(violations, "wrong responses", aFindings.m_wrongResponses);
  AddViolationIfAny(
    violations, "submissions that ran twice", aFindings.m_repeatedSubmissions);
  AddViolationIfAny(violations,
                    "submissions that ran although reported as not run",
                    aFindings.m_ranButReportedNotRun);
  AddViolationIfAny(violations,
                    "successful submissions that never ran",
                    aFindings.m_answeredButNotRun);
  return violations;
}

std::string
FormatTable(std::string_view aDeployment, const Findings& aFindings)
{
  const auto samples =
    static_cast<double>(std::max<uint64_t>(1, aFindings.m_samples));
  const auto trainers =
    static_cast<double>(std::max<uint64_t>(1, aFindings.m_trainers));
  std::string table = std::string(aDeployment) + "\n";
  AddRow(table, "samples delivered", std::to_string(aFindings.m_samples));
  AddRow(table, "duplicates", std::to_string(aFindings.m_duplicateSamples));
  AddRow(table, "missing", std::to_string(aFindings.m_missingSamples));
  AddRow(
    table,
    "staleness in versions, mean",
    FormatDecimal(static_cast<double>(aFindings.m_stalenessSum) / samples));
  AddRow(table,
         "staleness in versions, max",
         std::to_string(aFindings.m_stalenessMax));
  AddRow(table, "weight versions", std::to_string(aFindings.m_weightVersions));
  AddRow(table,
         "trainer idle share",
         FormatDecimal(aFindings.m_idleShareSum / trainers));
  AddRow(table, "caller requests", std::to_string(aFindings.m_requests));
  AddRow(table, "caller failures", std::to_string(aFindings.m_failedRequests));
  return table;
}

} // namespace heatherdeal::audit
