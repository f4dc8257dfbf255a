#include "audit/findings.h"

#include <algorithm>
#include <cstdio>

namespace heatherdeal::audit {

namespace {

using TokensByVersion = std::map<std::string, uint64_t>;

uint64_t
Number(const boost::json::value& aSeen, const char* aName)
{
  return aSeen.at(aName).to_number<uint64_t>();
}

void
AddTokens(TokensByVersion& aTokens, const boost::json::value& aSeen)
{
  for (const auto& entry : aSeen.at("tokens_by_version").as_object()) {
    aTokens[std::string(entry.key())] += entry.value().to_number<uint64_t>();
  }
}

void
AddTrainer(Findings& aFindings, const boost::json::value& aSeen)
{
  aFindings.m_trainers += 1;
  aFindings.m_unfinishedTrainers += aSeen.at("done").as_bool() ? 0 : 1;
  aFindings.m_samples += Number(aSeen, "samples");
  aFindings.m_duplicates += Number(aSeen, "duplicates");
  aFindings.m_missing += Number(aSeen, "missing");
  aFindings.m_incompleteGroups += Number(aSeen, "incomplete_groups");
  aFindings.m_wrongTexts += Number(aSeen, "wrong_texts");
  aFindings.m_wrongSpans += Number(aSeen, "wrong_spans");
  aFindings.m_tooOld += Number(aSeen, "too_old");
  aFindings.m_stalenessSum += Number(aSeen, "staleness_sum");
  aFindings.m_stalenessMax =
    std::max(aFindings.m_stalenessMax, Number(aSeen, "staleness_max"));
  aFindings.m_versions =
    std::max(aFindings.m_versions, Number(aSeen, "version"));
  aFindings.m_idleSum += aSeen.at("idle_share").to_number<double>();
}

void
AddCaller(Findings& aFindings,
          const boost::json::value& aSeen,
          const TokensByVersion& aRuns)
{
  aFindings.m_requests += Number(aSeen, "requests");
  aFindings.m_failures += Number(aSeen, "failures");
  aFindings.m_unanswered += Number(aSeen, "unanswered");
  aFindings.m_wrongAnswers += Number(aSeen, "wrong_answers");
  for (const auto& id : aSeen.at("said_not_run").as_array()) {
    aFindings.m_falselySaidNotRun +=
      aRuns.contains(std::string(id.as_string())) ? 1 : 0;
  }
  for (const auto& id : aSeen.at("answered").as_array()) {
    aFindings.m_answeredNotRun +=
      aRuns.contains(std::string(id.as_string())) ? 0 : 1;
  }
}

/// Returns the number of tokens that were attributed to a weight version to
/// trainers but that no engine generated with that version.
uint64_t
Misnamed(const TokensByVersion& aNamed, const TokensByVersion& aMade)
{
  uint64_t misnamed = 0;
  for (const auto& [version, tokens] : aNamed) {
    const auto made = aMade.find(version);
    const uint64_t known = made == aMade.end() ? 0 : made->second;
    misnamed += tokens > known ? tokens - known : 0;
  }
  return misnamed;
}

void
AddIfBroken(std::vector<std::string>& aBroken,
            std::string_view aPromise,
            uint64_t aCount)
{
  if (aCount > 0) {
    aBroken.push_back(std::string(aPromise) + ": " + std::to_string(aCount));
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
Decimal(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", aValue);
  return text;
}

} // namespace

Findings
Judge(const Sightings& aSightings)
{
  Findings findings;
  TokensByVersion named;
  TokensByVersion made;
  for (const boost::json::value& trainer : aSightings.m_trainers) {
    AddTrainer(findings, trainer);
    AddTokens(named, trainer);
  }
  for (const boost::json::value& engine : aSightings.m_engines) {
    AddTokens(made, engine);
  }
  findings.m_misnamedVersions = Misnamed(named, made);
  TokensByVersion runs;
  for (const boost::json::value& plain : aSightings.m_plainServices) {
    for (const auto& run : plain.at("runs").as_object()) {
      runs[std::string(run.key())] += run.value().to_number<uint64_t>();
    }
  }
  for (const boost::json::value& caller : aSightings.m_callers) {
    AddCaller(findings, caller, runs);
    for (const char* list : { "answered", "unknown" }) {
      for (const auto& id : caller.at(list).as_array()) {
        const auto run = runs.find(std::string(id.as_string()));
        findings.m_ranTwice += run != runs.end() && run->second > 1 ? 1 : 0;
      }
    }
  }
  return findings;
}

std::vector<std::string>
BrokenPromises(const Findings& aFindings)
{
  std::vector<std::string> broken;
  AddIfBroken(broken, "samples delivered twice", aFindings.m_duplicates);
  AddIfBroken(broken, "samples missing", aFindings.m_missing);
  AddIfBroken(broken, "groups incomplete", aFindings.m_incompleteGroups);
  AddIfBroken(broken, "samples with a wrong text", aFindings.m_wrongTexts);
  AddIfBroken(broken, "samples with wrong spans", aFindings.m_wrongSpans);
  AddIfBroken(
    broken, "tokens of misnamed versions", aFindings.m_misnamedVersions);
  AddIfBroken(broken, "samples over the bound", aFindings.m_tooOld);
  AddIfBroken(broken, "trainers unfinished", aFindings.m_unfinishedTrainers);
  AddIfBroken(broken, "calls cut off or not taken", aFindings.m_unanswered);
  AddIfBroken(broken, "wrong answers", aFindings.m_wrongAnswers);
  AddIfBroken(broken, "submissions that ran twice", aFindings.m_ranTwice);
  AddIfBroken(
    broken, "submissions falsely said not run", aFindings.m_falselySaidNotRun);
  AddIfBroken(
    broken, "submissions answered, not run", aFindings.m_answeredNotRun);
  return broken;
}

std::string
ToTable(std::string_view aDeployment, const Findings& aFindings)
{
  const auto samples =
    static_cast<double>(std::max<uint64_t>(1, aFindings.m_samples));
  const auto trainers =
    static_cast<double>(std::max<uint64_t>(1, aFindings.m_trainers));
  std::string table = std::string(aDeployment) + "\n";
  AddRow(table, "samples delivered", std::to_string(aFindings.m_samples));
  AddRow(table, "duplicates", std::to_string(aFindings.m_duplicates));
  AddRow(table, "missing", std::to_string(aFindings.m_missing));
  AddRow(table,
         "staleness in versions, mean",
         Decimal(static_cast<double>(aFindings.m_stalenessSum) / samples));
  AddRow(table,
         "staleness in versions, max",
         std::to_string(aFindings.m_stalenessMax));
  AddRow(table, "weight versions", std::to_string(aFindings.m_versions));
  AddRow(table, "trainer idle share", Decimal(aFindings.m_idleSum / trainers));
  AddRow(table, "caller requests", std::to_string(aFindings.m_requests));
  AddRow(table, "caller failures", std::to_string(aFindings.m_failures));
  return table;
}

} // namespace heatherdeal::audit
