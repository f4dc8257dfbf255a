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

// The size to design for.
constexpr double kNodes = 1400;
constexpr double kWorkers = 3400;
constexpr double kRequestsPerSecond = 15'000;
constexpr double kTokensPerSecond = 4.5e6;
constexpr double kTrainers = 9;
constexpr double kSamplesPerStep = 1024;
constexpr double kStepsInWork = 2;
constexpr double kConfigurationsPerDay = 3000;
constexpr double kSecondsPerDay = 86'400;
constexpr double kSecondsPerVersion = 120;
constexpr double kVersionSpreadSeconds = 8;

// What the mechanisms are set to.
constexpr double kSamplesPerShard = 64;
constexpr double kTokensPerChunk = 32;
constexpr double kRoundsPerSecond = 2;
constexpr double kFanout = 2;
constexpr double kProcessesPerNode = 3;
constexpr double kWatchesPerProcess = 3;
constexpr double kWatchSeconds = 20;
constexpr double kFollowerReadsPerSecond = 2;
constexpr double kReportsPerSecond = 2;

// The budget of a node, and of the store.
constexpr double kCoreBudgetMicroseconds = 20'000;
constexpr double kNetworkBudget = 17'000;
constexpr double kStoreWritesBudget = 300;
constexpr double kStoreReadsBudget = 2000;

using Lines = std::map<std::string, Line, std::less<>>;

/// The value at the greatest size of each series.
using LastValues = std::map<std::string, double>;

struct Parsed
{
  Lines m_lines;
  LastValues m_last;
};

Parsed
ParseLines(std::string_view aPoints)
{
  Parsed parsed;
  while (!aPoints.empty()) {
    const size_t end = aPoints.find('\n');
    const std::string_view text = aPoints.substr(0, end);
    aPoints.remove_prefix(end == std::string_view::npos ? aPoints.size()
                                                        : end + 1);
    const auto series = boost::json::parse({ text.data(), text.size() });
    std::vector<Point> points;
    for (const auto& point : series.at("points").as_array()) {
      points.push_back({ point.at("size").to_number<double>(),
                         point.at("value").to_number<double>() });
    }
    const std::string name(series.at("name").as_string());
    parsed.m_lines[name] = Fit(points);
    parsed.m_last[name] = points.back().m_value;
  }
  return parsed;
}

double
At(const Lines& aLines, std::string_view aName, double aSize)
{
  const auto found = aLines.find(aName);
  if (found == aLines.end()) {
    throw std::runtime_error("no series " + std::string(aName));
  }
  return found->second.m_base + found->second.m_slope * aSize;
}

/// One duty at the size to design for.
struct Row
{
  const char* m_role;
  const char* m_duty;
  const char* m_working;
  double m_value = 0.0;
  const char* m_unit;
  double m_budget = 0.0;
};

std::vector<Row>
RowsOf(const Parsed& aParsed)
{
  const Lines& lines = aParsed.m_lines;
  const LastValues& last = aParsed.m_last;
  const double shards =
    kTrainers * kSamplesPerStep * kStepsInWork / kSamplesPerShard;
  const double messages = kRoundsPerSecond * kFanout;
  const double round = At(lines, "gossip round", kNodes);
  const double received = At(lines, "gossip message received", kNodes);
  const double route = At(lines, "routing choice", kWorkers);
  const double chunk =
    At(lines, "shard, one chunk of tokens", kSamplesPerShard);
  const double document =
    At(lines, "configuration, parse and check", kTrainers);
  const double chunks = kTokensPerSecond / kTokensPerChunk;
  const double watchers = kNodes * kProcessesPerNode * kWatchesPerProcess;
  return {
    { "every",
      "gossip, processor",
      "2 rounds/s + 4 messages/s received, of 1,400 hosts",
      kProcessesPerNode * (kRoundsPerSecond * round + messages * received),
      "us/s a node",
      kCoreBudgetMicroseconds },
    { "every",
      "gossip, sent and received",
      "3 processes a node",
      2 * kProcessesPerNode * At(lines, "gossip bytes sent", kNodes),
      "bytes/s a node",
      kNetworkBudget },
    { "every",
      "configuration, processor",
      "3,000 a day, 9 jobs, 3 processes",
      kProcessesPerNode * document * kConfigurationsPerDay / kSecondsPerDay,
      "us/s a node",
      kCoreBudgetMicroseconds },
    { "entry",
      "routing choice",
      "15,000 requests/s over 1,400 nodes, 3,400 upstreams",
      route * kRequestsPerSecond / kNodes,
      "us/s a node",
      kCoreBudgetMicroseconds },
    { "rollout",
      "chunks of tokens",
      "all 4.5 M tokens/s by 32, shards of 64 samples, even",
      chunk * chunks / kNodes,
      "us/s a node",
      kCoreBudgetMicroseconds },
    { "rollout",
      "chunks of tokens, 1,024 samples in one shard",
      "one owner a trainer",
      At(lines, "shard, one chunk of tokens", kSamplesPerStep * kStepsInWork) *
        chunks / kTrainers,
      "us/s of the owner",
      kCoreBudgetMicroseconds },
    { "rollout",
      "lease writes",
      "288 shards and 9 services",
      At(lines, "lease writes", shards + kTrainers),
      "writes/s, all",
      kStoreWritesBudget },
    { "rollout",
      "lease reads",
      "two candidates a lease by rendezvous hash",
      shards * kFollowerReadsPerSecond,
      "reads/s, all",
      kStoreReadsBudget },
    { "every",
      "standing watches",
      "1,400 nodes, 3 processes, 3 kinds, 20 s",
      watchers / kWatchSeconds,
      "reads/s, all",
      kStoreReadsBudget },
    { "every",
      "watches woken by weights",
      "9 versions in 2 minutes, 4,200 watchers",
      watchers / kWatchesPerProcess * kTrainers / kSecondsPerVersion,
      "reads/s, all",
      kStoreReadsBudget },
    { "controller",
      "lease reads",
      "not built: every controller follows each of 9 leases",
      kNodes * kTrainers * kFollowerReadsPerSecond,
      "reads/s, all",
      kStoreReadsBudget },
    { "controller",
      "weight wave, processor",
      "measured at 3,400 engines, within 8 s",
      last.at("weight wave, whole") / kVersionSpreadSeconds,
      "us/s of the holder",
      kCoreBudgetMicroseconds },
    { "controller",
      "orders",
      "3,400 in 8 s",
      kWorkers / kVersionSpreadSeconds,
      "orders/s of the holder",
      kWorkers },
    { "entry, rollout",
      "load reports, every process asks every engine",
      "3,400 engines, 2/s, 200 bytes",
      kWorkers * kReportsPerSecond * 200,
      "bytes/s a process",
      kNetworkBudget },
  };
}

std::string
Number(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof(text), aValue < 10 ? "%.2f" : "%.0f", aValue);
  return text;
}

} // namespace

std::string
MakeCapacityTables(std::string_view aPoints)
{
  const Parsed parsed = ParseLines(aPoints);
  std::string text = "| series | base | slope | worst error of the fit |\n"
                     "|---|---|---|---|\n";
  for (const auto& [name, line] : parsed.m_lines) {
    char row[160];
    std::snprintf(row,
                  sizeof(row),
                  "| %s | %.3f | %.5f | %.0f%% |\n",
                  name.c_str(),
                  line.m_base,
                  line.m_slope,
                  100.0 * line.m_worstError);
    text += row;
  }
  text += "\n| role | duty | worked out as | value | unit | budget | holds |\n"
          "|---|---|---|---|---|---|---|\n";
  for (const Row& row : RowsOf(parsed)) {
    text += std::string("| ") + row.m_role + " | " + row.m_duty + " | " +
            row.m_working + " | " + Number(row.m_value) + " | " + row.m_unit +
            " | " + Number(row.m_budget) + " | " +
            (row.m_value <= row.m_budget ? "yes" : "**no**") + " |\n";
  }
  return text;
}

} // namespace heatherdeal::bench
