#include "bench/capacitytable.h"

#include <cstdio>
#include <map>
#include <stdexcept>
#include <vector>

#include "bench/fit.h"
#include "boost/json/parse.hpp"
#include "boost/json/value.hpp"

namespace heatherdeal::bench {

namespace {

// The load that the system is designed for.
constexpr double kNodes = 1400;
constexpr double kWorkers = 3400;
constexpr double kRequestsPerSecond = 15'000;
constexpr double kTokensPerSecond = 4.5e6;
constexpr double kTrainers = 9;
constexpr double kSamplesPerStep = 1024;
constexpr double kStepsInFlight = 2;
constexpr double kConfigurationsPerDay = 3000;
constexpr double kSecondsPerDay = 86'400;
constexpr double kSecondsPerVersion = 120;
constexpr double kRollingUpdateSeconds = 8;

// The settings of the mechanisms.
constexpr double kSamplesPerShard = 64;
constexpr double kTokensPerChunk = 32;
constexpr double kGossipRoundsPerSecond = 2;
constexpr double kGossipFanout = 2;
constexpr double kProcessesPerNode = 3;
constexpr double kWatchesPerProcess = 3;
constexpr double kWatchDurationSeconds = 20;
constexpr double kCandidateReadsPerSecond = 2;
constexpr double kLoadReportsPerSecond = 2;

// The budgets of a node and of the object store, per second.
constexpr double kCpuMicrosecondsBudget = 20'000;
constexpr double kNetworkBytesBudget = 17'000;
constexpr double kStoreWritesBudget = 300;
constexpr double kStoreReadsBudget = 2000;

/// Maps the name of a series to its fitted line.
using FittedLines = std::map<std::string, Line, std::less<>>;

/// Maps the name of a series to its value at the largest measured size.
using LargestSizeValues = std::map<std::string, double>;

/// Holds what the tables need of every series.
struct ParsedSeries
{
  FittedLines m_lines;
  LargestSizeValues m_largestSizeValues;
};

/// Parses one series per line, as RunCapacityBench writes them.
ParsedSeries
ParseSeriesLines(std::string_view aSeriesLines)
{
  ParsedSeries parsedSeries;
  while (!aSeriesLines.empty()) {
    const size_t lineEnd = aSeriesLines.find('\n');
    const std::string_view text = aSeriesLines.substr(0, lineEnd);
    aSeriesLines.remove_prefix(
      lineEnd == std::string_view::npos ? aSeriesLines.size() : lineEnd + 1);
    const auto series = boost::json::parse({ text.data(), text.size() });
    std::vector<Point> points;
    for (const auto& point : series.at("points").as_array()) {
      points.push_back({ point.at("size").to_number<double>(),
                         point.at("value").to_number<double>() });
    }
    const std::string name(series.at("name").as_string());
    parsedSeries.m_lines[name] = FitLine(points);
    parsedSeries.m_largestSizeValues[name] = points.back().m_value;
  }
  return parsedSeries;
}

/// Evaluates the fitted line of a series at a size.
double
EvaluateAt(const FittedLines& aLines,
           std::string_view aSeriesName,
           double aSize)
{
  const auto found = aLines.find(aSeriesName);
  if (found == aLines.end()) {
    throw std::runtime_error("no series " + std::string(aSeriesName));
  }
  return found->second.m_intercept + found->second.m_slope * aSize;
}

/// Holds one row of the table: the load of one duty at the design size.
struct DutyRow
{
  const char* m_role;
  const char* m_duty;
  const char* m_derivation;
  double m_value = 0.0;
  const char* m_unit;
  double m_budget = 0.0;
};

std::vector<DutyRow>
MakeDutyRows(const ParsedSeries& aParsedSeries)
{
  const FittedLines& lines = aParsedSeries.m_lines;
  const LargestSizeValues& largestSizeValues =
    aParsedSeries.m_largestSizeValues;
  const double shards =
    kTrainers * kSamplesPerStep * kStepsInFlight / kSamplesPerShard;
  const double messagesPerSecond = kGossipRoundsPerSecond * kGossipFanout;
  const double roundCost = EvaluateAt(lines, "gossip round", kNodes);
  const double receiveCost =
    EvaluateAt(lines, "gossip message received", kNodes);
  const double choiceCost = EvaluateAt(lines, "routing choice", kWorkers);
  const double chunkCost =
    EvaluateAt(lines, "shard, one chunk of tokens", kSamplesPerShard);
  const double documentCost =
    EvaluateAt(lines, "configuration, parse and check", kTrainers);
  const double chunksPerSecond = kTokensPerSecond / kTokensPerChunk;
  const double watches = kNodes * kProcessesPerNode * kWatchesPerProcess;
  return {
    { "every",
      "gossip, processor",
      "2 rounds/s + 4 messages/s received, of 1,400 hosts",
      kProcessesPerNode *
        (kGossipRoundsPerSecond * roundCost + messagesPerSecond * receiveCost),
      "us/s a node",
      kCpuMicrosecondsBudget },
    { "every",
      "gossip, sent and received",
      "3 processes a node",
      2 * kProcessesPerNode * EvaluateAt(lines, "gossip bytes sent", kNodes),
      "bytes/s a node",
      kNetworkBytesBudget },
    { "every",
      "configuration, processor",
      "3,000 a day, 9 jobs, 3 processes",
      kProcessesPerNode * documentCost * kConfigurationsPerDay / kSecondsPerDay,
      "us/s a node",
      kCpuMicrosecondsBudget },
    { "entry",
      "routing choice",
      "15,000 requests/s over 1,400 nodes, 3,400 upstreams",
      choiceCost * kRequestsPerSecond / kNodes,
      "us/s a node",
      kCpuMicrosecondsBudget },
    { "rollout",
      "chunks of tokens",
      "all 4.5 M tokens/s by 32, shards of 64 samples, even",
      chunkCost * chunksPerSecond / kNodes,
      "us/s a node",
      kCpuMicrosecondsBudget },
    { "rollout",
      "chunks of tokens, 1,024 samples in one shard",
      "one owner a trainer",
      EvaluateAt(
        lines, "shard, one chunk of tokens", kSamplesPerStep * kStepsInFlight) *
        chunksPerSecond / kTrainers,
      "us/s of the owner",
      kCpuMicrosecondsBudget },
    { "rollout",
      "lease writes",
      "288 shards and 9 services",
      EvaluateAt(lines, "lease writes", shards + kTrainers),
      "writes/s, all",
      kStoreWritesBudget },
    { "rollout",
      "lease reads",
      "two candidates a lease by rendezvous hash",
      shards * kCandidateReadsPerSecond,
      "reads/s, all",
      kStoreReadsBudget },
    { "every",
      "standing watches",
      "1,400 nodes, 3 processes, 3 kinds, 20 s",
      watches / kWatchDurationSeconds,
      "reads/s, all",
      kStoreReadsBudget },
    { "every",
      "watches woken by weights",
      "9 versions in 2 minutes, 4,200 watchers",
      watches / kWatchesPerProcess * kTrainers / kSecondsPerVersion,
      "reads/s, all",
      kStoreReadsBudget },
    { "controller",
      "lease reads",
      "not built: every controller follows each of 9 leases",
      kNodes * kTrainers * kCandidateReadsPerSecond,
      "reads/s, all",
      kStoreReadsBudget },
    { "controller",
      "weight wave, processor",
      "measured at 3,400 engines, within 8 s",
      largestSizeValues.at("weight wave, whole") / kRollingUpdateSeconds,
      "us/s of the holder",
      kCpuMicrosecondsBudget },
    { "controller",
      "orders",
      "3,400 in 8 s",
      kWorkers / kRollingUpdateSeconds,
      "orders/s of the holder",
      kWorkers },
    { "entry, rollout",
      "load reports, every process asks every engine",
      "3,400 engines, 2/s, 200 bytes",
      kWorkers * kLoadReportsPerSecond * 200,
      "bytes/s a process",
      kNetworkBytesBudget },
  };
}

/// Formats a value with two decimals if it is below 10, else with none.
std::string
FormatNumber(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof(text), aValue < 10 ? "%.2f" : "%.0f", aValue);
  return text;
}

} // namespace

std::string
MakeCapacityTables(std::string_view aSeriesLines)
{
  const ParsedSeries parsedSeries = ParseSeriesLines(aSeriesLines);
  std::string text = "| series | base | slope | worst error of the fit |\n"
                     "|---|---|---|---|\n";
  for (const auto& [name, line] : parsedSeries.m_lines) {
    char row[160];
    std::snprintf(row,
                  sizeof(row),
                  "| %s | %.3f | %.5f | %.0f%% |\n",
                  name.c_str(),
                  line.m_intercept,
                  line.m_slope,
                  100.0 * line.m_maxRelativeError);
    text += row;
  }
  text += "\n| role | duty | worked out as | value | unit | budget | holds |\n"
          "|---|---|---|---|---|---|---|\n";
  for (const DutyRow& row : MakeDutyRows(parsedSeries)) {
    text += std::string("| ") + row.m_role + " | " + row.m_duty + " | " +
            row.m_derivation + " | " + FormatNumber(row.m_value) + " | " +
            row.m_unit + " | " + FormatNumber(row.m_budget) + " | " +
            (row.m_value <= row.m_budget ? "yes" : "**no**") + " |\n";
  }
  return text;
}

} // namespace heatherdeal::bench
