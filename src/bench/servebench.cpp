#include "bench/servebench.h"

#include <algorithm>
#include <random>
#include <string_view>
#include <vector>

#include "boost/json/serialize.hpp"
#include "boost/json/value.hpp"

#include "routing/choice.h"
#include "virtualworld/eventqueue.h"

namespace heatherdeal::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kEntryHosts = 16;
constexpr size_t kUpstreams = 13;
constexpr uint32_t kSlotsPerUpstream = 8;
/// The offered load as a share of the capacity of all upstreams when
/// none is slow.
constexpr double kOfferedLoad = 0.7;
constexpr double kSlowdownFactor = 3.0;
constexpr double kMeanServiceSeconds = 0.1;
constexpr core::Duration kReportInterval = seconds(1);
constexpr core::Duration kRunTime = seconds(120);

/// Holds what runs on one upstream.
struct Upstream
{
  uint32_t m_runningCalls = 0;
  std::vector<core::Instant> m_waiting;
};

/// Simulates entry hosts that send to the same upstreams. Each routes by its
/// own counts and by load reports that are up to a second old.
class RoutingSimulation
{
public:
  /// Makes a call to the first upstream take aSlowdownFactor times as long as
  /// one to any other.
  RoutingSimulation(const configuration::RoutingPolicy& aPolicy,
                    double aSlowdownFactor)
    : m_policy(aPolicy)
    , m_slowdownFactor(aSlowdownFactor)
    , m_randomGenerator(7)
    , m_upstreams(kUpstreams)
    , m_facts(kEntryHosts, std::vector<routing::UpstreamFacts>(kUpstreams))
  {
    for (auto& facts : m_facts) {
      for (routing::UpstreamFacts& upstream : facts) {
        upstream.m_slots = kSlotsPerUpstream;
      }
    }
  }

  /// Returns the latency of each finished call in seconds.
  std::vector<double> Run()
  {
    ScheduleNextArrival();
    PublishLoadReports();
    m_eventQueue.RunUntil(core::Instant(kRunTime));
    return std::move(m_latencies);
  }

private:
  void ScheduleNextArrival()
  {
    const double arrivalRate =
      kOfferedLoad * kUpstreams * kSlotsPerUpstream / kMeanServiceSeconds;
    std::exponential_distribution<double> interarrivalTime(arrivalRate);
    m_eventQueue.ScheduleAfter(
      std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(interarrivalTime(m_randomGenerator))),
      [this] {
        SendCall(m_randomGenerator() % kEntryHosts);
        ScheduleNextArrival();
      });
  }

  void SendCall(size_t aEntryHost)
  {
    const auto chosen =
      routing::ChooseUpstream(routing::SourceOf(m_facts[aEntryHost]),
                              m_policy,
                              { {}, {}, ++m_lastSequence, m_eventQueue.Now() });
    m_facts[aEntryHost][*chosen].m_outstanding += 1;
    Upstream& upstream = m_upstreams[*chosen];
    const core::Instant sentAt = m_eventQueue.Now();
    m_calls.push_back({ aEntryHost, *chosen, sentAt });
    const size_t callIndex = m_calls.size() - 1;
    if (upstream.m_runningCalls < kSlotsPerUpstream) {
      StartCall(callIndex);
    } else {
      m_waitingCalls[*chosen].push_back(callIndex);
    }
  }

  void StartCall(size_t aCallIndex)
  {
    const size_t upstream = m_calls[aCallIndex].m_upstream;
    m_upstreams[upstream].m_runningCalls += 1;
    const double slowdownFactor = upstream == 0 ? m_slowdownFactor : 1.0;
    std::exponential_distribution<double> serviceTime(
      1.0 / (kMeanServiceSeconds * slowdownFactor));
    m_eventQueue.ScheduleAfter(
      std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(serviceTime(m_randomGenerator))),
      [this, aCallIndex] { FinishCall(aCallIndex); });
  }

  void FinishCall(size_t aCallIndex)
  {
    const Call call = m_calls[aCallIndex];
    m_upstreams[call.m_upstream].m_runningCalls -= 1;
    m_facts[call.m_entryHost][call.m_upstream].m_outstanding -= 1;
    m_latencies.push_back(
      std::chrono::duration<double>(m_eventQueue.Now() - call.m_sentAt)
        .count());
    auto& waitingCalls = m_waitingCalls[call.m_upstream];
    if (!waitingCalls.empty()) {
      const size_t nextCall = waitingCalls.front();
      waitingCalls.erase(waitingCalls.begin());
      StartCall(nextCall);
    }
  }

  void PublishLoadReports()
  {
    for (size_t i = 0; i < kUpstreams; ++i) {
      const auto load = static_cast<uint32_t>(m_upstreams[i].m_runningCalls +
                                              m_waitingCalls[i].size());
      for (auto& facts : m_facts) {
        facts[i].m_reportedLoad = load;
        facts[i].m_reportedAt = m_eventQueue.Now();
      }
    }
    m_eventQueue.ScheduleAfter(kReportInterval,
                               [this] { PublishLoadReports(); });
  }

  struct Call
  {
    size_t m_entryHost = 0;
    size_t m_upstream = 0;
    core::Instant m_sentAt{};
  };

  configuration::RoutingPolicy m_policy;
  double m_slowdownFactor;
  std::mt19937_64 m_randomGenerator;
  virtualworld::EventQueue m_eventQueue;
  std::vector<Upstream> m_upstreams;
  std::vector<std::vector<routing::UpstreamFacts>> m_facts;
  std::vector<size_t> m_waitingCalls[kUpstreams];
  std::vector<Call> m_calls;
  std::vector<double> m_latencies;
  uint64_t m_lastSequence = 0;
};

/// Runs one simulation and returns its latency percentiles.
boost::json::value
MeasurePolicy(std::string_view aPolicyName,
              const configuration::RoutingPolicy& aPolicy,
              double aSlowdownFactor)
{
  std::vector<double> latencies =
    RoutingSimulation(aPolicy, aSlowdownFactor).Run();
  std::ranges::sort(latencies);
  const auto percentile = [&latencies](double aShare) {
    return 1000.0 * latencies[static_cast<size_t>(
                      aShare * static_cast<double>(latencies.size() - 1))];
  };
  return { { "policy", std::string(aPolicyName) },
           { "one_upstream_slower_by", aSlowdownFactor },
           { "calls", latencies.size() },
           { "p50_ms", percentile(0.5) },
           { "p99_ms", percentile(0.99) },
           { "max_ms", percentile(1.0) } };
}

} // namespace

std::string
RunServeBench()
{
  std::string jsonLines;
  const auto appendLine = [&jsonLines](const boost::json::value& aValue) {
    jsonLines += boost::json::serialize(aValue) + "\n";
  };
  for (const double slowdownFactor : { 1.0, kSlowdownFactor }) {
    appendLine(MeasurePolicy(
      "two-choices", configuration::TwoChoices{}, slowdownFactor));
    appendLine(MeasurePolicy(
      "round-robin", configuration::RoundRobin{}, slowdownFactor));
    appendLine(MeasurePolicy(
      "least-reported", configuration::LeastReportedLoad{}, slowdownFactor));
  }
  return jsonLines;
}

} // namespace heatherdeal::bench
