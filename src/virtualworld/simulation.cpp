#include "virtualworld/simulation.h"

#include <algorithm>
#include <cmath>

namespace heatherdeal::virtualworld {

namespace {

constexpr uint64_t kSeedsPerGroup = 1024;

std::string
EngineName(size_t aIndex)
{
  return "engine-" + std::to_string(aIndex);
}

std::string
HostName(size_t aIndex)
{
  return "host-" + std::to_string(aIndex);
}

/// Returns the greatest distance between the two empirical distributions.
double
KolmogorovSmirnovDistance(std::vector<uint32_t> aLeft,
                          std::vector<uint32_t> aRight)
{
  if (aLeft.empty() || aRight.empty()) {
    return 0.0;
  }
  std::ranges::sort(aLeft);
  std::ranges::sort(aRight);
  double distance = 0.0;
  size_t left = 0;
  size_t right = 0;
  while (left < aLeft.size() && right < aRight.size()) {
    const uint32_t value = std::min(aLeft[left], aRight[right]);
    while (left < aLeft.size() && aLeft[left] <= value) {
      ++left;
    }
    while (right < aRight.size() && aRight[right] <= value) {
      ++right;
    }
    const double leftShare = static_cast<double>(left) / aLeft.size();
    const double rightShare = static_cast<double>(right) / aRight.size();
    distance = std::max(distance, std::abs(leftShare - rightShare));
  }
  return distance;
}

} // namespace

Simulation::Simulation(const SimulationSettings& aSettings)
  : m_settings(aSettings)
  , m_store(m_queue, m_settings.m_storeDelay)
{
  m_rollingUpdate.m_policy = m_settings.m_rollingUpdatePolicy;
  for (size_t i = 0; i < m_settings.m_engines; ++i) {
    const core::UpstreamId id{ EngineName(i) };
    const core::SoftwareVersion software{ std::to_string(
      i % m_settings.m_softwareVersions) };
    m_engines.emplace(id, FakeEngine(m_queue, m_settings, id, software));
  }
  for (size_t i = 0; i < m_settings.m_hosts; ++i) {
    m_hosts.push_back(
      std::make_unique<VirtualHost>(MakeHostEnvironment(), HostName(i)));
  }
  m_trainer = std::make_unique<VirtualTrainer>(m_queue, m_settings);
  m_trainer->m_sendPull =
    [this](size_t aHost, uint64_t aPull, const delivery::Cursor& aCursor) {
      DeliverPull(aHost, aPull, aCursor);
    };
  m_trainer->m_publishVersion = [this](core::WeightVersion aVersion) {
    PublishVersion(aVersion);
  };
  m_trainer->m_findHost = [this](std::string_view aName) {
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      if (m_hosts[i]->Name() == aName) {
        return i;
      }
    }
    return size_t{ 0 };
  };
}

HostEnvironment
Simulation::MakeHostEnvironment()
{
  HostEnvironment environment;
  environment.m_queue = &m_queue;
  environment.m_settings = &m_settings;
  environment.m_store = &m_store;
  environment.m_engines = &m_engines;
  environment.m_scoreGroup = [this](core::GroupOrdinal,
                                    std::function<void(bool)> aDone) {
    ScoreGroup(std::move(aDone));
  };
  environment.m_getSampleLength = [this](const core::SampleId& aSample) {
    return SampleLength(aSample);
  };
  environment.m_sendBatch = [this](uint64_t aPull, PayloadBatch aBatch) {
    if (m_pullResponsesToLose > 0) {
      m_pullResponsesToLose -= 1;
      return;
    }
    m_queue.ScheduleAfter(m_settings.m_networkDelay + m_pullResponseDelay,
                          [this, aPull, batch = std::move(aBatch)] {
                            m_trainer->ReceiveBatch(aPull, batch);
                          });
  };
  environment.m_refusePull = [this](uint64_t aPull,
                                    const core::Failure& aFailure) {
    m_queue.ScheduleAfter(m_settings.m_networkDelay, [this, aPull, aFailure] {
      m_trainer->ReceiveRefusal(aPull, aFailure);
    });
  };
  environment.m_nextStreamKey = [this] { return ++m_lastStreamKey; };
  return environment;
}

void
Simulation::Start()
{
  weights::EngineListChanged listed;
  for (const auto& [id, engine] : m_engines) {
    listed.m_engines.push_back({ id, true, false });
  }
  ApplyRollingUpdateEvent(listed);
  ApplyRollingUpdateEvent(weights::LeaseAcquired{ 1 });
  SendEngineReports();
  for (const auto& host : m_hosts) {
    host->Start();
  }
  m_trainer->Start();
}

FakeEngine&
Simulation::Engine(size_t aIndex)
{
  return m_engines.at({ EngineName(aIndex % m_engines.size()) });
}

VirtualHost&
Simulation::Host(size_t aIndex)
{
  return *m_hosts[aIndex % m_hosts.size()];
}

VirtualHost*
Simulation::Owner()
{
  VirtualHost* owner = nullptr;
  uint64_t epoch = 0;
  for (const auto& host : m_hosts) {
    const rollout::ShardState* state = host->OwnedShard();
    if (state != nullptr && state->m_delivery.m_epoch > epoch) {
      owner = host.get();
      epoch = state->m_delivery.m_epoch;
    }
  }
  return owner;
}

void
Simulation::SetStoreDown(bool aDown)
{
  m_store.SetDown(aDown);
  if (!aDown) {
    AnnounceVersion();
  }
}

void
Simulation::DeliverPull(size_t aHost,
                        uint64_t aPull,
                        const delivery::Cursor& aCursor)
{
  m_queue.ScheduleAfter(
    m_settings.m_networkDelay, [this, aHost, aPull, aCursor] {
      VirtualHost& host = Host(aHost);
      if (host.IsAlive()) {
        // The host passes the version of the cursor on to the controller, also
        // while the store is down.
        m_queue.ScheduleAfter(m_settings.m_networkDelay,
                              [this, version = aCursor.m_publishedVersion] {
                                ApplyRollingUpdateEvent(
                                  weights::TargetAnnounced{ version });
                              });
        host.ReceivePull(aPull, aCursor);
        return;
      }
      m_queue.ScheduleAfter(m_settings.m_networkDelay, [this, aPull] {
        m_trainer->ReceiveRefusal(aPull, core::NotOwner{});
      });
    });
}

void
Simulation::ScoreGroup(std::function<void(bool)> aDone)
{
  const bool isScorerUp = !m_isScorerDown;
  m_queue.ScheduleAfter(m_settings.m_scoringDuration,
                        [aDone, isScorerUp] { aDone(isScorerUp); });
  if (m_scorerResponseDuplicated) {
    m_queue.ScheduleAfter(2 * m_settings.m_scoringDuration,
                          [aDone, isScorerUp] { aDone(isScorerUp); });
  }
}

void
Simulation::PublishVersion(core::WeightVersion aVersion)
{
  m_publishedVersion = std::max(m_publishedVersion, aVersion);
  AnnounceVersion();
}

void
Simulation::AnnounceVersion()
{
  // Watches deliver nothing while the store is down.
  m_queue.ScheduleAfter(m_settings.m_storeDelay, [this] {
    if (m_store.IsDown()) {
      return;
    }
    ApplyRollingUpdateEvent(weights::TargetAnnounced{ m_publishedVersion });
    for (const auto& host : m_hosts) {
      host->SetNewestVersion(m_publishedVersion);
    }
  });
}

void
Simulation::SendEngineReports()
{
  // Hosts receive the reports of one interval ago, as stale as in practice.
  std::vector<rollout::EngineReport> reports;
  for (const auto& [id, engine] : m_engines) {
    if (engine.IsAlive()) {
      reports.push_back({ id,
                          m_settings.m_slotsPerEngine,
                          engine.Version(),
                          false,
                          { {}, engine.Software() } });
    }
  }
  for (const auto& host : m_hosts) {
    host->SetEngineReports(m_previousReports.empty() ? reports
                                                     : m_previousReports);
  }
  for (const rollout::EngineReport& report : reports) {
    ApplyRollingUpdateEvent(
      weights::VersionObserved{ report.m_engine, report.m_version });
  }
  ApplyRollingUpdateEvent(weights::DeadlineReached{});
  m_previousReports = std::move(reports);
  m_queue.ScheduleAfter(m_settings.m_reportInterval,
                        [this] { SendEngineReports(); });
}

void
Simulation::ApplyRollingUpdateEvent(const weights::RollingUpdateEvent& aEvent)
{
  std::vector<weights::RollingUpdateEffect> effects;
  weights::Apply(m_rollingUpdate, aEvent, m_queue.Now(), effects);
  for (const weights::RollingUpdateEffect& effect : effects) {
    const auto& order = std::get<weights::LoadOrder>(effect);
    m_queue.ScheduleAfter(m_settings.m_networkDelay, [this, order] {
      m_engines.at(order.m_engine)
        .HandleLoadOrder(order.m_version, order.m_fence);
    });
  }
}

uint32_t
Simulation::SampleLength(const core::SampleId& aSample) const
{
  const LengthDistribution& lengths = m_settings.m_lengths;
  std::mt19937_64 generator(m_settings.m_seed * 0x9e3779b97f4a7c15ULL +
                            aSample.m_group * kSeedsPerGroup +
                            aSample.m_member);
  generator.discard(2);
  std::lognormal_distribution<double> length(std::log(lengths.m_medianTokens),
                                             lengths.m_sigma);
  double tokens = length(generator);
  if (lengths.m_tailInterval > 0 && generator() % lengths.m_tailInterval == 0) {
    tokens *= lengths.m_tailFactor;
  }
  return std::max(1U, static_cast<uint32_t>(tokens));
}

double
Simulation::ComputeLengthBias() const
{
  // Compares the delivered samples with all samples of the groups up to the
  // last delivered one: if long samples are left out, the distance grows.
  const std::set<core::SampleId>& held = m_trainer->Record().m_heldSamples;
  if (held.empty()) {
    return 0.0;
  }
  std::vector<uint32_t> delivered;
  for (const core::SampleId& sample : held) {
    delivered.push_back(SampleLength(sample));
  }
  std::vector<uint32_t> all;
  const core::GroupOrdinal last = held.rbegin()->m_group;
  for (core::GroupOrdinal group = 0; group <= last; ++group) {
    for (uint32_t i = 0; i < m_settings.m_shard.m_samplesPerGroup; ++i) {
      all.push_back(SampleLength({ group, i }));
    }
  }
  return KolmogorovSmirnovDistance(std::move(delivered), std::move(all));
}

SimulationStatistics
Simulation::ComputeStatistics() const
{
  const TrainerRecord& record = m_trainer->Record();
  SimulationStatistics statistics;
  statistics.m_batches = record.m_batches;
  statistics.m_samples = record.m_staleness.size();
  core::Duration waited{};
  for (const core::Duration wait : record.m_waitTimes) {
    waited += wait;
  }
  const double trainedTime = static_cast<double>(record.m_trainedTime.count());
  const double waitedTime = static_cast<double>(waited.count());
  statistics.m_idleShare = trainedTime + waitedTime > 0.0
                             ? waitedTime / (trainedTime + waitedTime)
                             : 0.0;
  std::vector<uint64_t> staleness = record.m_staleness;
  if (!staleness.empty()) {
    std::ranges::sort(staleness);
    double sum = 0.0;
    for (const uint64_t value : staleness) {
      sum += static_cast<double>(value);
    }
    statistics.m_stalenessMean = sum / static_cast<double>(staleness.size());
    statistics.m_stalenessP99 = staleness[staleness.size() * 99 / 100];
    statistics.m_stalenessMax = staleness.back();
  }
  uint64_t generatedTokens = 0;
  for (const auto& [id, engine] : m_engines) {
    generatedTokens += engine.GeneratedTokens();
  }
  uint64_t wastedTokens = 0;
  for (const auto& host : m_hosts) {
    wastedTokens += host->Totals().m_wastedTokens;
  }
  statistics.m_wastedShare = generatedTokens == 0
                               ? 0.0
                               : static_cast<double>(wastedTokens) /
                                   static_cast<double>(generatedTokens);
  statistics.m_lengthBias = ComputeLengthBias();
  return statistics;
}

} // namespace heatherdeal::virtualworld
