#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "delivery/trainercursor.h"
#include "virtualworld/eventqueue.h"
#include "virtualworld/payload.h"
#include "virtualworld/simulationsettings.h"

namespace heatherdeal::virtualworld {

/// What a trainer has received and how long it waited.
struct TrainerRecord
{
  std::set<core::SampleId> m_heldSamples;
  /// Staleness of each received sample, in weight versions.
  std::vector<uint64_t> m_staleness;
  /// How long the trainer waited for each batch.
  std::vector<core::Duration> m_waitTimes;
  core::Duration m_trainedTime{};
  uint64_t m_batches = 0;
  uint64_t m_rejectedBatches = 0;
  uint64_t m_abandonedGroups = 0;
  /// Descriptions of violated guarantees; empty if there are none.
  std::vector<std::string> m_violations;
};

/// A simulated trainer on virtual time. It checks that the samples of every
/// batch are complete, new, fresh and attributed to the right versions. These
/// checks do not rely on the accounting of the service.
class VirtualTrainer
{
public:
  VirtualTrainer(EventQueue& aQueue, const SimulationSettings& aSettings);

  /// Sends a pull to the host with index aHost.
  std::function<void(size_t aHost, uint64_t aPull, const delivery::Cursor&)>
    m_sendPull;
  std::function<void(core::WeightVersion)> m_publishVersion;
  /// Returns the index of the host with that name.
  std::function<size_t(std::string_view aName)> m_findHost;

  void Start();
  void ReceiveBatch(uint64_t aPull, const PayloadBatch& aBatch);
  void ReceiveRefusal(uint64_t aPull, const core::Failure& aFailure);
  /// Restores the checkpoint of aBatchesAgo batches ago, or the oldest one that
  /// is left.
  void RestoreCheckpoint(uint32_t aBatchesAgo);

  const TrainerRecord& Record() const { return m_record; }
  const delivery::Cursor& CurrentCursor() const { return m_cursor; }
  core::Instant StartedAt() const { return m_startedAt; }
  core::Instant LastBatchAt() const { return m_lastBatchAt; }

private:
  struct Checkpoint
  {
    delivery::Cursor m_cursor;
    std::set<core::SampleId> m_heldSamples;
  };

  void SendPull();
  /// Pulls again after the retry delay.
  void ScheduleRetry();
  void CheckBatch(const PayloadBatch& aBatch);
  /// Checks that a sample is new, reports the actual versions and is not too
  /// stale.
  void CheckSample(const core::SampleId& aId, const PayloadSample& aSample);
  void TrainOnBatch();
  void AddViolation(const core::SampleId& aId, std::string_view aViolation);

  EventQueue& m_queue;
  const SimulationSettings& m_settings;
  delivery::Cursor m_cursor;
  TrainerRecord m_record;
  std::deque<Checkpoint> m_checkpoints;
  uint64_t m_lastPull = 0;
  bool m_isWaiting = false;
  bool m_isTraining = false;
  /// Increases with each restored checkpoint, which cancels running training.
  uint64_t m_incarnation = 0;
  size_t m_hostIndex = 0;
  uint64_t m_lastPublishedVersion = 0;
  core::Instant m_waitingSince{};
  core::Instant m_startedAt{};
  core::Instant m_lastBatchAt{};
};

} // namespace heatherdeal::virtualworld
