#include "bench/capacitybench.h"

#include <ctime>
#include <functional>
#include <span>
#include <string_view>
#include <vector>

#include "boost/json/serialize.hpp"
#include "boost/json/value.hpp"

#include "bench/fit.h"
#include "configuration/documentjson.h"
#include "delivery/deliverywindow.h"
#include "gossip/internal/digestcodec.h"
#include "gossip/members.h"
#include "protocol/frame.h"
#include "rollout/shard.h"
#include "routing/choice.h"
#include "virtualworld/simulation.h"
#include "weights/rollingupdate.h"

namespace heatherdeal::bench {

namespace {

constexpr double kMicroseconds = 1e6;
constexpr int kRepeats = 5;

/// Processor seconds that this thread has used.
double
ProcessorTime()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

/// The least processor time of one run of aWork among several, in
/// microseconds; the least is what other load disturbs least.
double
Cost(size_t aRuns, const std::function<void(size_t)>& aWork)
{
  double best = 1e300;
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    const double begin = ProcessorTime();
    for (size_t run = 0; run < aRuns; ++run) {
      aWork(run);
    }
    best = std::min(best, ProcessorTime() - begin);
  }
  return best * kMicroseconds / static_cast<double>(aRuns);
}

/// One quantity at several sizes.
struct Series
{
  std::string_view m_name;
  std::string_view m_size;
  std::string_view m_unit;
  std::vector<Point> m_points;
};

std::vector<routing::UpstreamFacts>
UpstreamsOf(size_t aCount)
{
  std::vector<routing::UpstreamFacts> facts(aCount);
  for (size_t i = 0; i < aCount; ++i) {
    facts[i].m_failureDomain.m_value = "d" + std::to_string(i % 17);
    facts[i].m_slots = 32;
    facts[i].m_outstanding = static_cast<uint32_t>(i % 7);
  }
  return facts;
}

Series
RoutingSeries()
{
  Series series{ "routing choice", "upstreams", "us", {} };
  for (const size_t count : { 13, 100, 400, 1600, 3400 }) {
    const auto facts = UpstreamsOf(count);
    const configuration::RoutingPolicy policy = configuration::TwoChoices{};
    const double cost = Cost(20'000, [&](size_t aRun) {
      routing::ChooseUpstream(routing::SourceOf(facts),
                              policy,
                              { { "d3" }, {}, aRun, core::Instant{} });
    });
    series.m_points.push_back({ static_cast<double>(count), cost });
  }
  return series;
}

gossip::GossipState
GossipOf(size_t aHosts)
{
  gossip::GossipState state;
  state.m_self.m_host = "host-self";
  gossip::PeersChanged listed;
  for (size_t i = 0; i < aHosts; ++i) {
    listed.m_hosts.push_back("host-" + std::to_string(i));
  }
  std::vector<gossip::GossipEffect> effects;
  gossip::Apply(state, listed, core::Instant{}, effects);
  for (size_t i = 0; i < aHosts; ++i) {
    gossip::Digest digest;
    digest.m_hosts.push_back({ listed.m_hosts[i], 1, 1, false, 0 });
    gossip::Apply(
      state, gossip::DigestReceived{ digest }, core::Instant{}, effects);
  }
  return state;
}

/// Digests that one round sends, sealed.
std::vector<std::vector<std::byte>>
RoundFrames(gossip::GossipState& aState,
            const protocol::KeyRing& aKeys,
            core::Instant aNow)
{
  std::vector<gossip::GossipEffect> effects;
  gossip::Apply(aState, gossip::RoundDue{}, aNow, effects);
  std::vector<std::vector<std::byte>> frames;
  for (const gossip::GossipEffect& effect : effects) {
    if (const auto* send = std::get_if<gossip::SendDigest>(&effect)) {
      frames.push_back(
        protocol::EncodeFrame(aKeys, gossip::Encode(send->m_digest)));
    }
  }
  return frames;
}

const protocol::KeyRing kKeys{ 1, { { 1, "a key of the benchmark" } } };

Series
GossipRoundSeries()
{
  Series series{ "gossip round", "hosts", "us", {} };
  for (const size_t hosts : { 8, 100, 400, 1400 }) {
    gossip::GossipState state = GossipOf(hosts);
    core::Instant now{};
    const double cost = Cost(500, [&](size_t) {
      now += state.m_policy.m_roundInterval;
      RoundFrames(state, kKeys, now);
    });
    series.m_points.push_back({ static_cast<double>(hosts), cost });
  }
  return series;
}

Series
GossipReceiveSeries()
{
  Series series{ "gossip message received", "hosts", "us", {} };
  for (const size_t hosts : { 8, 100, 400, 1400 }) {
    gossip::GossipState state = GossipOf(hosts);
    gossip::GossipState sender = GossipOf(hosts);
    sender.m_self.m_host = "host-1";
    const auto frames = RoundFrames(sender, kKeys, core::Instant{});
    std::vector<gossip::GossipEffect> effects;
    const double cost = Cost(2000, [&](size_t) {
      const auto payload = protocol::DecodeFrame(kKeys, frames.front());
      auto digest = gossip::Decode(*payload);
      gossip::Apply(state,
                    gossip::DigestReceived{ *std::move(digest) },
                    core::Instant{},
                    effects);
      effects.clear();
    });
    series.m_points.push_back({ static_cast<double>(hosts), cost });
  }
  return series;
}

Series
GossipBytesSeries()
{
  Series series{ "gossip bytes sent", "hosts", "bytes/s", {} };
  for (const size_t hosts : { 8, 100, 400, 1400 }) {
    gossip::GossipState state = GossipOf(hosts);
    double bytes = 0.0;
    core::Instant now{};
    const core::Instant end = now + std::chrono::seconds(60);
    while (now < end) {
      now += state.m_policy.m_roundInterval;
      for (const auto& frame : RoundFrames(state, kKeys, now)) {
        bytes += static_cast<double>(frame.size());
      }
    }
    series.m_points.push_back({ static_cast<double>(hosts), bytes / 60.0 });
  }
  return series;
}

weights::RollingUpdateState
WaveOf(size_t aEngines)
{
  weights::RollingUpdateState state;
  state.m_policy.m_concurrentLoads = static_cast<uint32_t>(aEngines);
  weights::EngineListChanged listed;
  for (size_t i = 0; i < aEngines; ++i) {
    listed.m_engines.push_back(
      { { "engine-" + std::to_string(i) }, true, false });
  }
  std::vector<weights::RollingUpdateEffect> effects;
  weights::Apply(state, listed, core::Instant{}, effects);
  weights::Apply(state, weights::LeaseAcquired{ 1 }, core::Instant{}, effects);
  return state;
}

Series
WaveSeries()
{
  Series series{ "weight wave, whole", "engines", "us", {} };
  for (const size_t engines : { 13, 100, 400, 1600, 3400 }) {
    const weights::RollingUpdateState fresh = WaveOf(engines);
    const double cost = Cost(1, [&](size_t) {
      weights::RollingUpdateState state = fresh;
      std::vector<weights::RollingUpdateEffect> effects;
      weights::Apply(
        state, weights::TargetAnnounced{ { 2 } }, core::Instant{}, effects);
      for (size_t i = 0; i < effects.size(); ++i) {
        const auto engine = std::get<weights::LoadOrder>(effects[i]).m_engine;
        weights::Apply(state,
                       weights::VersionObserved{ engine, { 2 } },
                       core::Instant{},
                       effects);
      }
    });
    series.m_points.push_back({ static_cast<double>(engines), cost });
  }
  return series;
}

/// A shard with so many samples running, and its engines.
rollout::ShardState
RunningShard(size_t aSamples)
{
  rollout::ShardPolicy policy;
  policy.m_samplesPerGroup = 8;
  policy.m_groupsPerBatch = static_cast<uint32_t>(aSamples / 8);
  policy.m_admissionPolicy = rollout::StalenessAdmission{ 1.0 };
  policy.m_stragglerPolicy = rollout::WaitForAll{};
  rollout::ShardState shard = rollout::MakeShardState(policy, {}, 1);
  std::vector<rollout::ShardEffect> effects;
  rollout::EnginesReported engines;
  for (size_t i = 0; i < 1 + aSamples / 32; ++i) {
    engines.m_engines.push_back(
      { { "engine-" + std::to_string(i) }, 32, { 1 }, false });
  }
  rollout::Apply(shard, engines, core::Instant{}, effects);
  rollout::Apply(
    shard,
    delivery::PullArrived{ 1, {}, core::Instant{} + std::chrono::hours(1) },
    core::Instant{},
    effects);
  return shard;
}

Series
ShardTokensSeries()
{
  Series series{ "shard, one chunk of tokens", "samples in work", "us", {} };
  for (const size_t samples : { 64, 256, 512, 1024 }) {
    rollout::ShardState shard = RunningShard(samples);
    std::vector<rollout::ShardEffect> effects;
    uint32_t offset = 0;
    const double cost = Cost(200, [&](size_t) {
      const rollout::DeadlineUpdate deadlines = rollout::Apply(
        shard,
        rollout::TokensArrived{ { 0, 0 }, 1, offset, 32, { { 1 } } },
        core::Instant{},
        effects);
      if (deadlines == rollout::DeadlineUpdate::Needed) {
        rollout::NextDeadline(shard, core::Instant{});
      }
      offset += 32;
      effects.clear();
    });
    series.m_points.push_back({ static_cast<double>(samples), cost });
  }
  return series;
}

Series
CursorBytesSeries()
{
  Series series{ "cursor in a pull", "groups out of order", "bytes", {} };
  for (const size_t groups : { 8, 64, 256, 1024 }) {
    boost::json::array above;
    for (size_t i = 0; i < groups; ++i) {
      above.emplace_back(100'000 + 2 * i);
    }
    const std::string text = boost::json::serialize(
      boost::json::value{ { "done_low", 99'999 }, { "done_above", above } });
    series.m_points.push_back(
      { static_cast<double>(groups), static_cast<double>(text.size()) });
  }
  return series;
}

Series
LeaseWritesSeries()
{
  Series series{ "lease writes", "leases", "writes/s", {} };
  for (const uint32_t leases : { 1U, 4U, 16U, 64U }) {
    double writes = 0.0;
    for (uint32_t lease = 0; lease < leases; ++lease) {
      virtualworld::SimulationSettings settings;
      settings.m_seed = lease;
      settings.m_engines = 1;
      virtualworld::Simulation world(settings);
      world.Start();
      world.Queue().RunUntil(core::Instant(std::chrono::seconds(120)));
      writes += static_cast<double>(world.Store().WriteCount());
    }
    series.m_points.push_back({ static_cast<double>(leases), writes / 120.0 });
  }
  return series;
}

Series
DocumentSeries()
{
  Series series{ "configuration, parse and check", "jobs", "us", {} };
  for (const size_t jobs : { 2, 9, 36, 144 }) {
    configuration::Document document;
    configuration::Service engines;
    engines.m_name.m_value = "engines";
    engines.m_kind = configuration::ModelEngines{ "w" };
    configuration::Service scorer;
    scorer.m_name.m_value = "scorer";
    document.m_services = { engines, scorer };
    for (size_t i = 0; i < jobs; ++i) {
      configuration::Job job;
      job.m_name.m_value = "job-" + std::to_string(i);
      job.m_trainer.m_value = "trainer";
      job.m_service = engines.m_name;
      job.m_scorer = scorer.m_name;
      job.m_promptsFile = "prompts.jsonl";
      document.m_jobs.push_back(job);
    }
    const std::string text = configuration::ToJson(document);
    const double cost =
      Cost(50, [&](size_t) { configuration::ParseDocument(text); });
    series.m_points.push_back({ static_cast<double>(jobs), cost });
  }
  return series;
}

boost::json::value
ToValue(const Series& aSeries)
{
  boost::json::array points;
  for (const Point& point : aSeries.m_points) {
    points.push_back({ { "size", point.m_size }, { "value", point.m_value } });
  }
  const Line line = Fit(aSeries.m_points);
  return { { "name", std::string(aSeries.m_name) },
           { "size", std::string(aSeries.m_size) },
           { "unit", std::string(aSeries.m_unit) },
           { "points", std::move(points) },
           { "base", line.m_base },
           { "slope", line.m_slope },
           { "worst_error", line.m_worstError } };
}

} // namespace

std::string
RunCapacityBench()
{
  std::string lines;
  for (const auto& measure : { RoutingSeries,
                               GossipRoundSeries,
                               GossipReceiveSeries,
                               GossipBytesSeries,
                               WaveSeries,
                               ShardTokensSeries,
                               CursorBytesSeries,
                               LeaseWritesSeries,
                               DocumentSeries }) {
    lines += boost::json::serialize(ToValue(measure())) + "\n";
  }
  return lines;
}

} // namespace heatherdeal::bench
