#include "virtualworld/virtualtrainer.h"

#include "core/overloaded.h"

namespace heatherdeal::virtualworld {

namespace {

constexpr core::Duration kRetryDelay = std::chrono::milliseconds(50);
constexpr size_t kMaxCheckpoints = 16;

std::string
ToText(const core::SampleId& aId)
{
  return std::to_string(aId.m_group) + "." + std::to_string(aId.m_member);
}

} // namespace

VirtualTrainer::VirtualTrainer(EventQueue& aQueue,
                               const SimulationSettings& aSettings)
  : m_queue(aQueue)
  , m_settings(aSettings)
{
}

void
VirtualTrainer::Start()
{
  m_cursor.m_publishedVersion = { 1 };
  m_lastPublishedVersion = 1;
  m_startedAt = m_queue.Now();
  m_waitingSince = m_startedAt;
  m_checkpoints.push_back({ m_cursor, {} });
  m_publishVersion(m_cursor.m_publishedVersion);
  SendPull();
}

void
VirtualTrainer::SendPull()
{
  if (m_isTraining) {
    return;
  }
  const uint64_t pull = ++m_lastPull;
  m_isWaiting = true;
  m_sendPull(m_hostIndex, pull, m_cursor);
  m_queue.ScheduleAfter(m_settings.m_pullTimeout, [this, pull] {
    if (m_isWaiting && pull == m_lastPull) {
      // The pull timed out. The host may be down, so the trainer tries the next
      // one.
      m_hostIndex += 1;
      SendPull();
    }
  });
}

void
VirtualTrainer::ScheduleRetry()
{
  m_isWaiting = false;
  m_queue.ScheduleAfter(kRetryDelay, [this, pull = m_lastPull] {
    if (!m_isWaiting && !m_isTraining && pull == m_lastPull) {
      SendPull();
    }
  });
}

void
VirtualTrainer::ReceiveRefusal(uint64_t aPull, const core::Failure& aFailure)
{
  if (aPull != m_lastPull || !m_isWaiting) {
    return;
  }
  std::visit(core::Overloaded{ [this](const core::NotOwner& aRefusal) {
                                m_hostIndex = aRefusal.m_owner.empty()
                                                ? m_hostIndex + 1
                                                : m_findHost(aRefusal.m_owner);
                              },
                               [this](const core::StaleCursor& aRefusal) {
                                 m_cursor.m_incarnation =
                                   aRefusal.m_seenIncarnation + 1;
                               },
                               [](const auto&) {} },
             aFailure);
  ScheduleRetry();
}

void
VirtualTrainer::ReceiveBatch(uint64_t aPull, const PayloadBatch& aBatch)
{
  const delivery::BatchRequirements requirements{
    m_settings.m_shard.m_stalenessBound, m_settings.m_shard.m_samplesPerGroup
  };
  // A response to an earlier pull is checked like any other.
  if (m_isTraining ||
      delivery::AcceptBatch(m_cursor, aBatch.m_head, requirements)) {
    m_record.m_rejectedBatches += 1;
    if (aPull == m_lastPull && m_isWaiting) {
      ScheduleRetry();
    }
    return;
  }
  m_isWaiting = false;
  m_record.m_waitTimes.push_back(m_queue.Now() - m_waitingSince);
  m_record.m_batches += 1;
  m_record.m_abandonedGroups += aBatch.m_head.m_abandonedGroups.size();
  m_lastBatchAt = m_queue.Now();
  CheckBatch(aBatch);
  TrainOnBatch();
}

void
VirtualTrainer::AddViolation(const core::SampleId& aId,
                             std::string_view aViolation)
{
  m_record.m_violations.push_back(ToText(aId) + " " + std::string(aViolation));
}

void
VirtualTrainer::CheckBatch(const PayloadBatch& aBatch)
{
  const uint32_t samplesPerGroup = m_settings.m_shard.m_samplesPerGroup;
  if (aBatch.m_samples.size() !=
      aBatch.m_head.m_groups.size() * samplesPerGroup) {
    AddViolation({}, "batch is incomplete");
  }
  for (const auto& [id, sample] : aBatch.m_samples) {
    CheckSample(id, sample);
  }
}

void
VirtualTrainer::CheckSample(const core::SampleId& aId,
                            const PayloadSample& aSample)
{
  if (!m_record.m_heldSamples.insert(aId).second) {
    AddViolation(aId, "delivered twice");
  }
  uint64_t oldestVersion = m_cursor.m_publishedVersion.m_number;
  size_t token = 0;
  bool versionsMatch = !aSample.m_origins.empty();
  for (const core::VersionSpan& span : aSample.m_spans) {
    oldestVersion = std::min(oldestVersion, span.m_version.m_number);
    for (uint32_t i = span.m_begin; i < span.m_end; ++i, ++token) {
      versionsMatch =
        versionsMatch && token == i && token < aSample.m_origins.size() &&
        aSample.m_origins[token].m_weights == span.m_version.m_number;
    }
  }
  if (!versionsMatch || token != aSample.m_origins.size()) {
    AddViolation(aId, "names a wrong version");
  }
  const bool isJoined =
    std::ranges::any_of(aSample.m_origins, [&](const TokenOrigin& aOrigin) {
      return aOrigin.m_software != aSample.m_origins.front().m_software;
    });
  if (isJoined) {
    AddViolation(aId, "is joined from two software versions");
  }
  const uint64_t staleness =
    m_cursor.m_publishedVersion.m_number - oldestVersion;
  m_record.m_staleness.push_back(staleness);
  if (staleness > m_settings.m_shard.m_stalenessBound) {
    AddViolation(aId, "exceeds the staleness bound");
  }
}

void
VirtualTrainer::TrainOnBatch()
{
  m_isTraining = true;
  m_queue.ScheduleAfter(
    m_settings.m_trainTime, [this, incarnation = m_incarnation] {
      if (incarnation != m_incarnation) {
        return;
      }
      m_isTraining = false;
      m_record.m_trainedTime += m_settings.m_trainTime;
      if (m_cursor.m_lastBatchNumber % m_settings.m_batchesPerVersion == 0) {
        m_cursor.m_publishedVersion = { ++m_lastPublishedVersion };
        m_publishVersion(m_cursor.m_publishedVersion);
      }
      m_checkpoints.push_back({ m_cursor, m_record.m_heldSamples });
      if (m_checkpoints.size() > kMaxCheckpoints) {
        m_checkpoints.pop_front();
      }
      m_waitingSince = m_queue.Now();
      SendPull();
    });
}

void
VirtualTrainer::RestoreCheckpoint(uint32_t aBatchesAgo)
{
  m_incarnation += 1;
  m_isTraining = false;
  m_isWaiting = false;
  for (uint32_t i = 0; i < aBatchesAgo && m_checkpoints.size() > 1; ++i) {
    m_checkpoints.pop_back();
  }
  m_cursor = m_checkpoints.back().m_cursor;
  m_record.m_heldSamples = m_checkpoints.back().m_heldSamples;
  // Publishes a new version: the weight store knows the last one, and versions
  // are never reused.
  m_cursor.m_publishedVersion = { ++m_lastPublishedVersion };
  m_publishVersion(m_cursor.m_publishedVersion);
  m_waitingSince = m_queue.Now();
  SendPull();
}

} // namespace heatherdeal::virtualworld
