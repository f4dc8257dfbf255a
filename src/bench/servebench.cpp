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

constexpr size_t kEntries = 16;
constexpr size_t kUpstreams = 13;
constexpr uint32_t kSlots = 8;
constexpr double kLoad = 0.7;
constexpr double kSlowness = 3.0;
constexpr double kMeanServiceSeconds = 0.1;
constexpr core::Duration kReportAge = seconds(1);
constexpr core::Duration kRunTime = seconds(120);

/// An upstream with a queue behind its slots.
struct Upstream
{
  uint32_t m_running = 0;
  std::vector<core::Instant> m_waiting;
};

/// Entry hosts that route to shared upstreams with reports a second old.
class Herd
{
public:
  /// The first upstream takes aSlowness times as long as the others.
  Herd(const configuration::RoutingPolicy& aPolicy, double aSlowness)
    : m_policy(aPolicy)
    , m_slowness(aSlowness)
    , m_random(7)
    , m_upstreams(kUpstreams)
    , m_facts(kEntries, std::vector<routing::UpstreamFacts>(kUpstreams))
  {
    for (auto& facts : m_facts) {
      for (routing::UpstreamFacts& upstream : facts) {
        upstream.m_slots = kSlots;
      }
    }
  }

  std::vector<double> Run()
  {
    Arrive();
    Report();
    m_queue.RunUntil(core::Instant(kRunTime));
    return std::move(m_latencies);
  }

private:
  void Arrive()
  {
    const double rate = kLoad * kUpstreams * kSlots / kMeanServiceSeconds;
    std::exponential_distribution<double> gap(rate);
    m_queue.ScheduleAfter(std::chrono::duration_cast<core::Duration>(
                            std::chrono::duration<double>(gap(m_random))),
                          [this] {
                            Send(m_random() % kEntries);
                            Arrive();
                          });
  }

  void Send(size_t aEntry)
  {
    const auto chosen =
      routing::ChooseUpstream(routing::SourceOf(m_facts[aEntry]),
                              m_policy,
                              { {}, {}, ++m_ticket, m_queue.Now() });
    m_facts[aEntry][*chosen].m_outstanding += 1;
    Upstream& upstream = m_upstreams[*chosen];
    const core::Instant sent = m_queue.Now();
    m_pending.push_back({ aEntry, *chosen, sent });
    const size_t call = m_pending.size() - 1;
    if (upstream.m_running < kSlots) {
      Begin(call);
    } else {
      m_queues[*chosen].push_back(call);
    }
  }

  void Begin(size_t aCall)
  {
    const size_t upstream = m_pending[aCall].m_upstream;
    m_upstreams[upstream].m_running += 1;
    const double slowness = upstream == 0 ? m_slowness : 1.0;
    std::exponential_distribution<double> service(
      1.0 / (kMeanServiceSeconds * slowness));
    m_queue.ScheduleAfter(std::chrono::duration_cast<core::Duration>(
                            std::chrono::duration<double>(service(m_random))),
                          [this, aCall] { End(aCall); });
  }

  void End(size_t aCall)
  {
    const Call call = m_pending[aCall];
    m_upstreams[call.m_upstream].m_running -= 1;
    m_facts[call.m_entry][call.m_upstream].m_outstanding -= 1;
    m_latencies.push_back(
      std::chrono::duration<double>(m_queue.Now() - call.m_sent).count());
    auto& waiting = m_queues[call.m_upstream];
    if (!waiting.empty()) {
      const size_t next = waiting.front();
      waiting.erase(waiting.begin());
      Begin(next);
    }
  }

  void Report()
  {
    for (size_t i = 0; i < kUpstreams; ++i) {
      const auto load =
        static_cast<uint32_t>(m_upstreams[i].m_running + m_queues[i].size());
      for (auto& facts : m_facts) {
        facts[i].m_reportedLoad = load;
        facts[i].m_reportedAt = m_queue.Now();
      }
    }
    m_queue.ScheduleAfter(kReportAge, [this] { Report(); });
  }

  struct Call
  {
    size_t m_entry = 0;
    size_t m_upstream = 0;
    core::Instant m_sent{};
  };

  configuration::RoutingPolicy m_policy;
  double m_slowness;
  std::mt19937_64 m_random;
  virtualworld::EventQueue m_queue;
  std::vector<Upstream> m_upstreams;
  std::vector<std::vector<routing::UpstreamFacts>> m_facts;
  std::vector<size_t> m_queues[kUpstreams];
  std::vector<Call> m_pending;
  std::vector<double> m_latencies;
  uint64_t m_ticket = 0;
};

boost::json::value
Measure(std::string_view aName,
        const configuration::RoutingPolicy& aPolicy,
        double aSlowness)
{
  std::vector<double> latencies = Herd(aPolicy, aSlowness).Run();
  std::ranges::sort(latencies);
  const auto at = [&latencies](double aShare) {
    return 1000.0 * latencies[static_cast<size_t>(
                      aShare * static_cast<double>(latencies.size() - 1))];
  };
  return {
    { "policy", std::string(aName) }, { "one_upstream_slower_by", aSlowness },
    { "calls", latencies.size() },    { "p50_ms", at(0.5) },
    { "p99_ms", at(0.99) },           { "max_ms", at(1.0) }
  };
}

} // namespace

std::string
RunServeBench()
{
  std::string lines;
  const auto add = [&lines](const boost::json::value& aValue) {
    lines += boost::json::serialize(aValue) + "\n";
  };
  for (const double slowness : { 1.0, kSlowness }) {
    add(Measure("two-choices", configuration::TwoChoices{}, slowness));
    add(Measure("round-robin", configuration::RoundRobin{}, slowness));
    add(
      Measure("least-reported", configuration::LeastReportedLoad{}, slowness));
  }
  return lines;
}

} // namespace heatherdeal::bench
