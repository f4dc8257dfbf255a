#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "lease/lease.h"
#include "rollout/shard.h"
#include "virtualworld/eventqueue.h"
#include "virtualworld/fakeengine.h"
#include "virtualworld/fakestore.h"
#include "virtualworld/payload.h"

namespace heatherdeal::virtualworld {

/// The fakes and callbacks that connect a host with the simulation.
struct HostEnvironment
{
  EventQueue* m_queue = nullptr;
  const SimulationSettings* m_settings = nullptr;
  FakeStore<lease::LeaseRecord>* m_store = nullptr;
  std::map<core::UpstreamId, FakeEngine>* m_engines = nullptr;
  /// Scores a group. The callback may come late, twice or never.
  std::function<void(core::GroupOrdinal, std::function<void(bool aSucceeded)>)>
    m_scoreGroup;
  std::function<uint32_t(const core::SampleId&)> m_getSampleLength;
  /// Sends the response to a pull.
  std::function<void(uint64_t aPull, PayloadBatch)> m_sendBatch;
  std::function<void(uint64_t aPull, const core::Failure&)> m_refusePull;
  /// Returns a stream key that has not been used before.
  std::function<uint64_t()> m_nextStreamKey;
};

/// A simulated process that may own the shard and runs the decision code of the
/// service. It can be killed, restarted and paused.
class VirtualHost
{
public:
  VirtualHost(HostEnvironment aEnvironment, std::string aName);

  void Start();
  void Kill();
  /// Runs no tasks for aTime, as if the process were stopped. Tasks that become
  /// due meanwhile run afterwards.
  void Pause(core::Duration aTime);
  /// Releases the lease of the shard, as a graceful shutdown does.
  void Resign();

  void ReceivePull(uint64_t aPull, const delivery::Cursor& aCursor);
  void SetEngineReports(std::vector<rollout::EngineReport> aReports);
  void SetNewestVersion(core::WeightVersion aVersion);

  const std::string& Name() const { return m_name; }
  bool IsAlive() const { return m_alive; }
  bool IsOwner() const { return m_shard.has_value(); }
  const rollout::ShardState* OwnedShard() const
  {
    return m_shard ? &*m_shard : nullptr;
  }
  /// Returns the totals over all times in which this host owned the shard.
  rollout::ShardTotals Totals() const;
  /// Returns the lease holder that this host knows of.
  std::string_view KnownOwner() const;

private:
  /// Runs aTask after aDelay: later if the process is paused, never if it has
  /// been killed.
  void RunAfter(core::Duration aDelay, std::function<void()> aTask);
  /// Runs aTask now or when the pause ends, unless the process of aIncarnation
  /// has been killed.
  void RunWhenNotPaused(uint64_t aIncarnation, std::function<void()> aTask);

  /// Applies an event to the lease state, performs the effects and schedules
  /// the next deadline.
  void ApplyLeaseEvent(const lease::LeaseEvent& aEvent);
  void PerformEffect(const lease::ReadRecord& aEffect);
  void PerformEffect(const lease::WriteRecord& aEffect);
  void PerformEffect(const lease::LeaseGranted& aEffect);
  void PerformEffect(const lease::LeaseExtended&) {}
  void PerformEffect(const lease::LeaseLost& aEffect);

  /// Applies an event to the owned shard, performs the effects and schedules
  /// the next deadline.
  void ApplyShardEvent(const rollout::ShardEvent& aEvent);
  void PerformEffect(const rollout::StartStream& aEffect);
  void PerformEffect(const rollout::CancelStream& aEffect);
  void PerformEffect(const rollout::DropSample& aEffect);
  void PerformEffect(const rollout::ScoreGroup& aEffect);
  void PerformEffect(const rollout::DropGroup& aEffect);
  void PerformEffect(const delivery::SendBatch& aEffect);
  void PerformEffect(const delivery::RefusePull& aEffect);

  /// Passes a chunk to the shard, and records the actual versions of its tokens
  /// if the shard accepts them.
  void AcceptChunk(const rollout::StartStream& aStream, const Chunk& aChunk);
  /// Ends the ownership of the shard, and adds its totals to the earlier ones.
  void EndOwnership(std::string_view aNewOwner);

  struct RunningStream
  {
    core::UpstreamId m_engine;
    StreamKey m_key = 0;
  };

  HostEnvironment m_environment;
  std::string m_name;
  bool m_alive = false;
  /// Increases with each start and kill; tasks of an earlier incarnation do not
  /// run.
  uint64_t m_incarnation = 0;
  core::Instant m_pausedUntil{};
  lease::LeaseState m_leaseState;
  std::optional<rollout::ShardState> m_shard;
  /// Totals of earlier ownerships.
  rollout::ShardTotals m_earlierTotals;
  /// Increases when ownership begins or ends; callbacks of an earlier ownership
  /// are ignored.
  uint64_t m_ownershipNumber = 0;
  /// Numbers of the timers that were scheduled last; earlier ones are ignored.
  uint64_t m_lastLeaseTimer = 0;
  uint64_t m_lastShardTimer = 0;
  std::vector<rollout::EngineReport> m_engineReports;
  core::WeightVersion m_newestVersion;
  std::map<core::SampleId, TokenOrigins> m_tokenOrigins;
  /// Streams by sample and attempt.
  std::map<std::pair<core::SampleId, uint32_t>, RunningStream> m_streams;
};

} // namespace heatherdeal::virtualworld
