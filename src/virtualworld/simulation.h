#pragma once

#include <map>
#include <memory>
#include <random>
#include <vector>

#include "virtualworld/fakeengine.h"
#include "virtualworld/fakestore.h"
#include "virtualworld/simulationsettings.h"
#include "virtualworld/virtualhost.h"
#include "virtualworld/virtualtrainer.h"

namespace heatherdeal::virtualworld {

/// Statistics of a run, for tests and benchmarks.
struct SimulationStatistics
{
  /// Share of its time that the trainer waited for batches.
  double m_idleShare = 0.0;
  /// Staleness of delivered samples, in weight versions.
  double m_stalenessMean = 0.0;
  uint64_t m_stalenessP99 = 0;
  uint64_t m_stalenessMax = 0;
  /// Share of the generated tokens that the hosts counted as wasted.
  double m_wastedShare = 0.0;
  /// Kolmogorov-Smirnov distance between the lengths of delivered samples
  /// and those of all samples in the same range of groups.
  double m_lengthBias = 0.0;
  uint64_t m_batches = 0;
  uint64_t m_samples = 0;
};

/// Simulates one shard with its hosts, engines, scorer, store and trainer on
/// virtual time, with the decision code of the service.
class Simulation
{
public:
  explicit Simulation(const SimulationSettings& aSettings);
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  void Start();
  EventQueue& Queue() { return m_queue; }
  const SimulationSettings& Settings() const { return m_settings; }

  /// Returns an engine; aIndex wraps around.
  FakeEngine& Engine(size_t aIndex);
  size_t EngineCount() const { return m_engines.size(); }
  /// Returns a host; aIndex wraps around.
  VirtualHost& Host(size_t aIndex);
  size_t HostCount() const { return m_hosts.size(); }
  /// Returns the owner of the shard with the highest epoch, or null if there is
  /// none.
  VirtualHost* Owner();
  VirtualTrainer& Trainer() { return *m_trainer; }
  FakeStore<lease::LeaseRecord>& Store() { return m_store; }

  void SetStoreDown(bool aDown);
  /// While down, the scorer reports failures.
  void SetScorerDown(bool aDown) { m_isScorerDown = aDown; }
  /// Sets whether the scorer sends each response twice.
  void SetScorerResponseDuplicated(bool aDuplicated)
  {
    m_scorerResponseDuplicated = aDuplicated;
  }
  /// Loses the next aCount responses to pulls.
  void LosePullResponses(uint32_t aCount) { m_pullResponsesToLose = aCount; }
  /// Delays responses to pulls by aDelay on top of the network delay.
  void DelayPullResponses(core::Duration aDelay)
  {
    m_pullResponseDelay = aDelay;
  }

  /// Returns the number of tokens of a sample, which depends on the seed of the
  /// simulation.
  uint32_t SampleLength(const core::SampleId& aSample) const;
  SimulationStatistics ComputeStatistics() const;

private:
  HostEnvironment MakeHostEnvironment();
  /// Delivers a pull to a host after the network delay; a host that is down
  /// refuses it.
  void DeliverPull(size_t aHost,
                   uint64_t aPull,
                   const delivery::Cursor& aCursor);
  void ScoreGroup(std::function<void(bool)> aDone);
  void PublishVersion(core::WeightVersion aVersion);
  /// Announces the published version to the hosts and the controller, unless
  /// the store is down.
  void AnnounceVersion();
  /// Sends the engines' reports to the hosts and the controller, and schedules
  /// the next reports.
  void SendEngineReports();
  /// Applies an event to the rolling update and delivers the orders that follow
  /// from it to the engines.
  void ApplyRollingUpdateEvent(const weights::RollingUpdateEvent& aEvent);
  double ComputeLengthBias() const;

  SimulationSettings m_settings;
  EventQueue m_queue;
  FakeStore<lease::LeaseRecord> m_store;
  std::map<core::UpstreamId, FakeEngine> m_engines;
  std::vector<std::unique_ptr<VirtualHost>> m_hosts;
  std::unique_ptr<VirtualTrainer> m_trainer;
  weights::RollingUpdateState m_rollingUpdate;
  /// The reports of one interval ago, which hosts receive next.
  std::vector<rollout::EngineReport> m_previousReports;
  core::WeightVersion m_publishedVersion;
  uint64_t m_lastStreamKey = 0;
  bool m_isScorerDown = false;
  bool m_scorerResponseDuplicated = false;
  uint32_t m_pullResponsesToLose = 0;
  core::Duration m_pullResponseDelay{};
};

} // namespace heatherdeal::virtualworld
