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

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr int kRepetitions = 5;

/// Returns the processor time that this thread has used, in seconds.
double
ThreadCpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

/// Returns the processor time of one run of aWork in microseconds. Takes the
/// minimum over several repetitions, because other load on the machine only
/// adds to a measurement.
double
MeasureMicroseconds(size_t aRuns, const std::function<void(size_t)>& aWork)
{
  double minimum = 1e300;
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    const double begin = ThreadCpuSeconds();
    for (size_t run = 0; run < aRuns; ++run) {
      aWork(run);
    }
    minimum = std::min(minimum, ThreadCpuSeconds() - begin);
  }
  return minimum * kMicrosecondsPerSecond / static_cast<double>(aRuns);
}

/// Holds one quantity measured at several sizes.
struct Series
{
  std::string_view m_name;
  /// What the size of a point counts.
  std::string_view m_sizeLabel;
  std::string_view m_unit;
  std::vector<Point> m_points;
};

std::vector<routing::UpstreamFacts>
MakeUpstreamFacts(size_t aCount)
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
MeasureRoutingChoice()
{
  Series series{ "routing choice", "upstreams", "us", {} };
  for (const size_t count : { 13, 100, 400, 1600, 3400 }) {
    const auto facts = MakeUpstreamFacts(count);
    const configuration::RoutingPolicy policy = configuration::TwoChoices{};
    const double microseconds =
      MeasureMicroseconds(20'000, [&](size_t aRunIndex) {
        routing::ChooseUpstream(routing::SourceOf(facts),
                                policy,
                                { { "d3" }, {}, aRunIndex, core::Instant{} });
      });
    series.m_points.push_back({ static_cast<double>(count), microseconds });
  }
  return series;
}

/// Returns the state of a host that has heard from aHosts peers.
gossip::GossipState
MakeGossipState(size_t aHosts)
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

/// Runs one gossip round and returns its digests as signed frames.
std::vector<std::vector<std::byte>>
RunGossipRound(gossip::GossipState& aState,
               const protocol::KeyRing& aKeyRing,
               core::Instant aNow)
{
  std::vector<gossip::GossipEffect> effects;
  gossip::Apply(aState, gossip::RoundDue{}, aNow, effects);
  std::vector<std::vector<std::byte>> frames;
  for (const gossip::GossipEffect& effect : effects) {
    if (const auto* send = std::get_if<gossip::SendDigest>(&effect)) {
      frames.push_back(
        protocol::EncodeFrame(aKeyRing, gossip::Encode(send->m_digest)));
    }
  }
  return frames;
}

const protocol::KeyRing kKeyRing{ 1, { { 1, "a key of the benchmark" } } };

Series
MeasureGossipRound()
{
  Series series{ "gossip round", "hosts", "us", {} };
  for (const size_t hosts : { 8, 100, 400, 1400 }) {
    gossip::GossipState state = MakeGossipState(hosts);
    core::Instant now{};
    const double microseconds = MeasureMicroseconds(500, [&](size_t) {
      now += state.m_policy.m_roundInterval;
      RunGossipRound(state, kKeyRing, now);
    });
    series.m_points.push_back({ static_cast<double>(hosts), microseconds });
  }
  return series;
}

Series
MeasureGossipReceipt()
{
  Series series{ "gossip message received", "hosts", "us", {} };
  for (const size_t hosts : { 8, 100, 400, 1400 }) {
    gossip::GossipState state = MakeGossipState(hosts);
    gossip::GossipState sender = MakeGossipState(hosts);
    sender.m_self.m_host = "host-1";
    const auto frames = RunGossipRound(sender, kKeyRing, core::Instant{});
    std::vector<gossip::GossipEffect> effects;
    const double microseconds = MeasureMicroseconds(2000, [&](size_t) {
      const auto payload = protocol::DecodeFrame(kKeyRing, frames.front());
      auto digest = gossip::Decode(*payload);
      gossip::Apply(state,
                    gossip::DigestReceived{ *std::move(digest) },
                    core::Instant{},
                    effects);
      effects.clear();
    });
    series.m_points.push_back({ static_cast<double>(hosts), microseconds });
  }
  return series;
}

Series
MeasureGossipBytes()
{
  Series series{ "gossip bytes sent", "hosts", "bytes/s", {} };
  for (const size_t hosts : { 8, 100, 400, 1400 }) {
    gossip::GossipState state = MakeGossipState(hosts);
    double bytes = 0.0;
    core::Instant now{};
    const core::Instant end = now + std::chrono::seconds(60);
    while (now < end) {
      now += state.m_policy.m_roundInterval;
      for (const auto& frame : RunGossipRound(state, kKeyRing, now)) {
        bytes += static_cast<double>(frame.size());
      }
    }
    series.m_points.push_back({ static_cast<double>(hosts), bytes / 60.0 });
  }
  return series;
}

/// Returns the state of a lease holder whose limit of concurrent loads equals
/// the number of engines.
weights::RollingUpdateState
MakeRollingUpdateState(size_t aEngines)
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

/// Measures a rolling update from the announcement of a version until every
/// engine reports it.
Series
MeasureRollingUpdate()
{
  Series series{ "weight wave, whole", "engines", "us", {} };
  for (const size_t engines : { 13, 100, 400, 1600, 3400 }) {
    const weights::RollingUpdateState initialState =
      MakeRollingUpdateState(engines);
    const double microseconds = MeasureMicroseconds(1, [&](size_t) {
      weights::RollingUpdateState state = initialState;
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
    series.m_points.push_back({ static_cast<double>(engines), microseconds });
  }
  return series;
}

/// Returns a shard that has started aSamples samples on its engines.
rollout::ShardState
MakeRunningShard(size_t aSamples)
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
MeasureShardTokens()
{
  Series series{ "shard, one chunk of tokens", "samples in work", "us", {} };
  for (const size_t samples : { 64, 256, 512, 1024 }) {
    rollout::ShardState shard = MakeRunningShard(samples);
    std::vector<rollout::ShardEffect> effects;
    uint32_t offset = 0;
    const double microseconds = MeasureMicroseconds(200, [&](size_t) {
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
    series.m_points.push_back({ static_cast<double>(samples), microseconds });
  }
  return series;
}

Series
MeasureCursorBytes()
{
  Series series{ "cursor in a pull", "groups out of order", "bytes", {} };
  for (const size_t groups : { 8, 64, 256, 1024 }) {
    boost::json::array doneAbove;
    for (size_t i = 0; i < groups; ++i) {
      doneAbove.emplace_back(100'000 + 2 * i);
    }
    const std::string text = boost::json::serialize(boost::json::value{
      { "done_low", 99'999 }, { "done_above", doneAbove } });
    series.m_points.push_back(
      { static_cast<double>(groups), static_cast<double>(text.size()) });
  }
  return series;
}

Series
MeasureLeaseWrites()
{
  Series series{ "lease writes", "leases", "writes/s", {} };
  for (const uint32_t leases : { 1U, 4U, 16U, 64U }) {
    double writes = 0.0;
    for (uint32_t lease = 0; lease < leases; ++lease) {
      virtualworld::SimulationSettings settings;
      settings.m_seed = lease;
      settings.m_engines = 1;
      virtualworld::Simulation simulation(settings);
      simulation.Start();
      simulation.Queue().RunUntil(core::Instant(std::chrono::seconds(120)));
      writes += static_cast<double>(simulation.Store().WriteCount());
    }
    series.m_points.push_back({ static_cast<double>(leases), writes / 120.0 });
  }
  return series;
}

Series
MeasureDocumentParsing()
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
    const double microseconds = MeasureMicroseconds(
      50, [&](size_t) { configuration::ParseDocument(text); });
    series.m_points.push_back({ static_cast<double>(jobs), microseconds });
  }
  return series;
}

boost::json::value
ToJsonValue(const Series& aSeries)
{
  boost::json::array points;
  for (const Point& point : aSeries.m_points) {
    points.push_back({ { "size", point.m_size }, { "value", point.m_value } });
  }
  const Line line = FitLine(aSeries.m_points);
  return { { "name", std::string(aSeries.m_name) },
           { "size", std::string(aSeries.m_sizeLabel) },
           { "unit", std::string(aSeries.m_unit) },
           { "points", std::move(points) },
           { "base", line.m_intercept },
           { "slope", line.m_slope },
           { "worst_error", line.m_maxRelativeError } };
}

} // namespace

std::string
RunCapacityBench()
{
  std::string lines;
  for (const auto& measure : { MeasureRoutingChoice,
                               MeasureGossipRound,
                               MeasureGossipReceipt,
                               MeasureGossipBytes,
                               MeasureRollingUpdate,
                               MeasureShardTokens,
                               MeasureCursorBytes,
                               MeasureLeaseWrites,
                               MeasureDocumentParsing }) {
    lines += boost::json::serialize(ToJsonValue(measure())) + "\n";
  }
  return lines;
}

} // namespace heatherdeal::bench
