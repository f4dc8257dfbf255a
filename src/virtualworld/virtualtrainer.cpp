#include "virtualworld/virtualtrainer.h"

#include "core/overloaded.h"

namespace heatherdeal::virtualworld {

namespace {

constexpr core::Duration kPause = std::chrono::milliseconds(50);
constexpr size_t kCheckpoints = 16;

std::string
ToText(const core::SampleId& aId)
{
  return std::to_string(aId.m_group) + "." + std::to_string(aId.m_member);
}

} // namespace

VirtualTrainer::VirtualTrainer(EventQueue& aQueue,
                               const WorldSettings& aSettings)
  : m_queue(aQueue)
  , m_settings(aSettings)
{
}

void
VirtualTrainer::Start()
{
  m_cursor.m_version = { 1 };
  m_lastPublished = 1;
  m_startedAt = m_queue.Now();
  m_waitingSince = m_startedAt;
  m_checkpoints.push_back({ m_cursor, {} });
  m_publish(m_cursor.m_version);
  Pull();
}

void
VirtualTrainer::Pull()
{
  if (m_training) {
    return;
  }
  const uint64_t pull = ++m_pull;
  m_waiting = true;
  m_sendPull(m_host, pull, m_cursor);
  m_queue.After(m_settings.m_pullTime, [this, pull] {
    if (m_waiting && pull == m_pull) {
      // The pull timed out: the host may be down, so tries the next one.
      m_host += 1;
      Pull();
    }
  });
}

void
VirtualTrainer::PullSoon()
{
  m_waiting = false;
  m_queue.After(kPause, [this, pull = m_pull] {
    if (!m_waiting && !m_training && pull == m_pull) {
      Pull();
    }
  });
}

void
VirtualTrainer::ReceiveRefusal(uint64_t aPull, const core::Failure& aFailure)
{
  if (aPull != m_pull || !m_waiting) {
    return;
  }
  std::visit(core::Overloaded{ [this](const core::NotOwner& aF) {
                                m_host = aF.m_owner.empty()
                                           ? m_host + 1
                                           : m_hostOf(aF.m_owner);
                              },
                               [this](const core::StaleCursor& aF) {
                                 m_cursor.m_incarnation =
                                   aF.m_seenIncarnation + 1;
                               },
                               [](const auto&) {} },
             aFailure);
  PullSoon();
}

void
VirtualTrainer::Receive(uint64_t aPull, const PayloadBatch& aBatch)
{
  const delivery::BatchRequirements requirements{
    m_settings.m_shard.m_stalenessBound, m_settings.m_shard.m_samplesPerGroup
  };
  // A response to an earlier pull is checked like any other.
  if (m_training || delivery::Take(m_cursor, aBatch.m_head, requirements)) {
    m_record.m_rejected += 1;
    if (aPull == m_pull && m_waiting) {
      PullSoon();
    }
    return;
  }
  m_waiting = false;
  m_record.m_waits.push_back(m_queue.Now() - m_waitingSince);
  m_record.m_batches += 1;
  m_record.m_abandoned += aBatch.m_head.m_abandoned.size();
  m_lastBatchAt = m_queue.Now();
  Check(aBatch);
  Train();
}

void
VirtualTrainer::Violate(const core::SampleId& aId, std::string_view aWhat)
{
  m_record.m_violations.push_back(ToText(aId) + " " + std::string(aWhat));
}

void
VirtualTrainer::Check(const PayloadBatch& aBatch)
{
  const uint32_t perGroup = m_settings.m_shard.m_samplesPerGroup;
  if (aBatch.m_samples.size() != aBatch.m_head.m_groups.size() * perGroup) {
    Violate({}, "batch is incomplete");
  }
  for (const auto& [id, sample] : aBatch.m_samples) {
    CheckSample(id, sample);
  }
}

void
VirtualTrainer::CheckSample(const core::SampleId& aId,
                            const PayloadSample& aSample)
{
  if (!m_record.m_held.insert(aId).second) {
    Violate(aId, "delivered twice");
  }
  uint64_t oldest = m_cursor.m_version.m_number;
  size_t token = 0;
  bool named = !aSample.m_truth.empty();
  for (const core::VersionSpan& span : aSample.m_spans) {
    oldest = std::min(oldest, span.m_version.m_number);
    for (uint32_t i = span.m_begin; i < span.m_end; ++i, ++token) {
      named = named && token == i && token < aSample.m_truth.size() &&
              aSample.m_truth[token] == span.m_version.m_number;
    }
  }
  if (!named || token != aSample.m_truth.size()) {
    Violate(aId, "names a wrong version");
  }
  const uint64_t staleness = m_cursor.m_version.m_number - oldest;
  m_record.m_staleness.push_back(staleness);
  if (staleness > m_settings.m_shard.m_stalenessBound) {
    Violate(aId, "exceeds the staleness bound");
  }
}

void
VirtualTrainer::Train()
{
  m_training = true;
  m_queue.After(m_settings.m_trainTime, [this, incarnation = m_incarnation] {
    if (incarnation != m_incarnation) {
      return;
    }
    m_training = false;
    m_record.m_trained += m_settings.m_trainTime;
    if (m_cursor.m_number % m_settings.m_batchesPerVersion == 0) {
      m_cursor.m_version = { ++m_lastPublished };
      m_publish(m_cursor.m_version);
    }
    m_checkpoints.push_back({ m_cursor, m_record.m_held });
    if (m_checkpoints.size() > kCheckpoints) {
      m_checkpoints.pop_front();
    }
    m_waitingSince = m_queue.Now();
    Pull();
  });
}

void
VirtualTrainer::RestoreCheckpoint(uint32_t aBatchesAgo)
{
  m_incarnation += 1;
  m_training = false;
  m_waiting = false;
  for (uint32_t i = 0; i < aBatchesAgo && m_checkpoints.size() > 1; ++i) {
    m_checkpoints.pop_back();
  }
  m_cursor = m_checkpoints.back().m_cursor;
  m_record.m_held = m_checkpoints.back().m_held;
  // Publishes a new version: the weight store knows the last one, and versions
  // are never reused.
  m_cursor.m_version = { ++m_lastPublished };
  m_publish(m_cursor.m_version);
  m_waitingSince = m_queue.Now();
  Pull();
}

} // namespace heatherdeal::virtualworld
