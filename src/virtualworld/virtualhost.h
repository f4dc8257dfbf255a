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
struct Surroundings
{
  EventQueue* m_queue = nullptr;
  const WorldSettings* m_settings = nullptr;
  FakeStore<lease::LeaseRecord>* m_store = nullptr;
  std::map<core::UpstreamId, FakeEngine>* m_engines = nullptr;
  /// Scores a group. The callback may come late, twice or never.
  std::function<void(core::GroupOrdinal, std::function<void(bool aOk)>)>
    m_score;
  std::function<uint32_t(const core::SampleId&)> m_lengthOf;
  std::function<void(uint64_t aPull, PayloadBatch)> m_sendBatch;
  std::function<void(uint64_t aPull, const core::Failure&)> m_refusePull;
  std::function<uint64_t()> m_nextKey;
};

/// A simulated process that may own the shard and runs the decision code of the
/// service. It can be killed, restarted and paused.
class VirtualHost
{
public:
  VirtualHost(Surroundings aSurroundings, std::string aName);

  void Start();
  void Kill();
  /// Runs nothing for aTime, as a stopped process; tasks wait until then.
  void Pause(core::Duration aTime);
  /// Releases the lease of the shard, as a graceful shutdown does.
  void Resign();

  void Pull(uint64_t aPull, const delivery::Cursor& aCursor);
  void SetEngines(std::vector<rollout::EngineReport> aReports);
  void SetNewestVersion(core::WeightVersion aVersion);

  const std::string& Name() const { return m_name; }
  bool IsAlive() const { return m_alive; }
  bool IsOwner() const { return m_shard.has_value(); }
  const rollout::ShardState* State() const
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
  void Deliver(core::Duration aDelay, std::function<void()> aTask);
  void RunOrWait(uint64_t aIncarnation, std::function<void()> aTask);

  void FeedLease(const lease::LeaseEvent& aEvent);
  void Run(const lease::ReadRecord& aEffect);
  void Run(const lease::WriteRecord& aEffect);
  void Run(const lease::LeaseGranted& aEffect);
  void Run(const lease::LeaseLost& aEffect);

  void FeedShard(const rollout::ShardEvent& aEvent);
  void Run(const rollout::StartStream& aEffect);
  void Run(const rollout::CancelStream& aEffect);
  void Run(const rollout::DropSample& aEffect);
  void Run(const rollout::ScoreGroup& aEffect);
  void Run(const rollout::DropGroup& aEffect);
  void Run(const delivery::SendBatch& aEffect);
  void Run(const delivery::RefusePull& aEffect);

  void AcceptChunk(const rollout::StartStream& aStream, const Chunk& aChunk);
  void EndOwnership(std::string_view aNewOwner);

  struct RunningStream
  {
    core::UpstreamId m_engine;
    StreamKey m_key = 0;
  };

  Surroundings m_around;
  std::string m_name;
  bool m_alive = false;
  uint64_t m_incarnation = 0;
  core::Instant m_pausedUntil{};
  lease::LeaseState m_lease;
  std::optional<rollout::ShardState> m_shard;
  rollout::ShardTotals m_earlierTotals;
  uint64_t m_ownership = 0;
  uint64_t m_leaseTimer = 0;
  uint64_t m_shardTimer = 0;
  std::vector<rollout::EngineReport> m_engines;
  core::WeightVersion m_newest;
  std::map<core::SampleId, TokenTruth> m_texts;
  std::map<std::pair<core::SampleId, uint32_t>, RunningStream> m_streams;
};

} // namespace heatherdeal::virtualworld
