#include "virtualworld/virtualhost.h"

namespace heatherdeal::virtualworld {

namespace {

const core::ShardId kShard{ { "job" }, 0 };
constexpr std::string_view kLeaseName = "shard";

core::Failure
ToFailure(const absl::Status& aStatus)
{
  if (absl::IsAborted(aStatus)) {
    return core::VersionConflict{};
  }
  return core::ConnectionFailed{ "store", core::Executed::Unknown };
}

void
Add(rollout::ShardTotals& aSum, const rollout::ShardTotals& aTotals)
{
  aSum.m_tokens += aTotals.m_tokens;
  aSum.m_wastedTokens += aTotals.m_wastedTokens;
  aSum.m_resumes += aTotals.m_resumes;
  aSum.m_migrations += aTotals.m_migrations;
  aSum.m_unnamed += aTotals.m_unnamed;
  aSum.m_tooOld += aTotals.m_tooOld;
  aSum.m_lateEvents += aTotals.m_lateEvents;
  aSum.m_scoringFailures += aTotals.m_scoringFailures;
  aSum.m_abandoned += aTotals.m_abandoned;
}

} // namespace

VirtualHost::VirtualHost(Surroundings aSurroundings, std::string aName)
  : m_around(std::move(aSurroundings))
  , m_name(std::move(aName))
{
}

void
VirtualHost::Start()
{
  m_alive = true;
  m_incarnation += 1;
  m_lease = {};
  m_lease.m_policy = m_around.m_settings->m_lease;
  m_lease.m_self = m_name;
  FeedLease(lease::StepDue{});
}

void
VirtualHost::Kill()
{
  m_alive = false;
  m_incarnation += 1;
  m_pausedUntil = {};
  if (m_shard) {
    // Cancels the streams of the killed owner and counts the tokens that it
    // held as wasted.
    for (const auto& [id, stream] : m_streams) {
      m_around.m_engines->at(stream.m_engine).Cancel(stream.m_key);
    }
    for (const auto& [ordinal, group] : m_shard->m_groups) {
      for (const rollout::SampleProgress& sample : group.m_samples) {
        m_shard->m_totals.m_wastedTokens += sample.m_tokens;
      }
    }
    Add(m_earlierTotals, m_shard->m_totals);
  }
  m_shard.reset();
  m_texts.clear();
  m_streams.clear();
}

void
VirtualHost::Pause(core::Duration aTime)
{
  m_pausedUntil = m_around.m_queue->Now() + aTime;
}

void
VirtualHost::Resign()
{
  FeedLease(lease::ResignRequested{});
}

rollout::ShardTotals
VirtualHost::Totals() const
{
  rollout::ShardTotals totals = m_earlierTotals;
  if (m_shard) {
    Add(totals, m_shard->m_totals);
  }
  return totals;
}

std::string_view
VirtualHost::KnownOwner() const
{
  return lease::HolderOf(m_lease);
}

void
VirtualHost::Deliver(core::Duration aDelay, std::function<void()> aTask)
{
  m_around.m_queue->After(
    aDelay, [this, incarnation = m_incarnation, task = std::move(aTask)] {
      RunOrWait(incarnation, task);
    });
}

void
VirtualHost::RunOrWait(uint64_t aIncarnation, std::function<void()> aTask)
{
  if (!m_alive || aIncarnation != m_incarnation) {
    return;
  }
  if (m_around.m_queue->Now() >= m_pausedUntil) {
    aTask();
    return;
  }
  m_around.m_queue->At(m_pausedUntil, [this, aIncarnation, task = aTask] {
    RunOrWait(aIncarnation, task);
  });
}

// Lease

void
VirtualHost::FeedLease(const lease::LeaseEvent& aEvent)
{
  std::vector<lease::LeaseEffect> effects;
  lease::Apply(m_lease, aEvent, m_around.m_queue->Now(), effects);
  for (const lease::LeaseEffect& effect : effects) {
    std::visit([this](const auto& aTyped) { Run(aTyped); }, effect);
  }
  const core::Instant next = lease::NextDeadline(m_lease);
  if (next == core::Instant::max()) {
    return;
  }
  const uint64_t timer = ++m_leaseTimer;
  Deliver(next - m_around.m_queue->Now(), [this, timer] {
    if (timer == m_leaseTimer) {
      FeedLease(lease::StepDue{});
    }
  });
}

void
VirtualHost::Run(const lease::ReadRecord&)
{
  const uint64_t incarnation = m_incarnation;
  m_around.m_store->Read(
    std::string(kLeaseName),
    [this, incarnation](absl::StatusOr<Versioned<lease::LeaseRecord>> aRead) {
      RunOrWait(incarnation, [this, aRead] {
        if (!aRead.ok()) {
          FeedLease(lease::ReadFailed{ ToFailure(aRead.status()) });
          return;
        }
        lease::LeaseRecord record = aRead->m_value;
        record.m_version = aRead->m_version;
        FeedLease(lease::RecordSeen{ record });
      });
    });
}

void
VirtualHost::Run(const lease::WriteRecord& aEffect)
{
  const uint64_t incarnation = m_incarnation;
  m_around.m_store->Write(
    std::string(kLeaseName),
    aEffect.m_ifVersion,
    aEffect.m_record,
    [this, incarnation](absl::StatusOr<uint64_t> aVersion) {
      RunOrWait(incarnation, [this, aVersion] {
        if (aVersion.ok()) {
          FeedLease(lease::WriteSucceeded{ *aVersion });
          return;
        }
        FeedLease(lease::WriteFailed{ ToFailure(aVersion.status()) });
      });
    });
}

void
VirtualHost::Run(const lease::LeaseGranted& aEffect)
{
  m_ownership += 1;
  m_shard =
    rollout::MakeShard(m_around.m_settings->m_shard, kShard, aEffect.m_epoch);
  FeedShard(delivery::NewestVersionSeen{ m_newest });
  FeedShard(rollout::EnginesReported{ m_engines });
}

void
VirtualHost::Run(const lease::LeaseLost& aEffect)
{
  EndOwnership(aEffect.m_newHolder);
}

void
VirtualHost::EndOwnership(std::string_view aNewOwner)
{
  if (!m_shard) {
    return;
  }
  FeedShard(delivery::OwnershipEnded{ std::string(aNewOwner) });
  Add(m_earlierTotals, m_shard->m_totals);
  m_shard.reset();
  m_ownership += 1;
  m_texts.clear();
  m_streams.clear();
}

// Shard

void
VirtualHost::Pull(uint64_t aPull, const delivery::Cursor& aCursor)
{
  if (!m_alive) {
    return;
  }
  Deliver({}, [this, aPull, aCursor] {
    if (!m_shard) {
      m_around.m_refusePull(
        aPull, core::NotOwner{ "job/0", std::string(KnownOwner()) });
      return;
    }
    FeedShard(delivery::PullArrived{ aPull,
                                     aCursor,
                                     m_around.m_queue->Now() +
                                       m_around.m_settings->m_pullWait });
  });
}

void
VirtualHost::SetEngines(std::vector<rollout::EngineReport> aReports)
{
  Deliver({}, [this, reports = std::move(aReports)] {
    m_engines = reports;
    if (m_shard) {
      FeedShard(rollout::EnginesReported{ m_engines });
    }
  });
}

void
VirtualHost::SetNewestVersion(core::WeightVersion aVersion)
{
  Deliver({}, [this, aVersion] {
    m_newest = std::max(m_newest, aVersion);
    if (m_shard) {
      FeedShard(delivery::NewestVersionSeen{ m_newest });
    }
  });
}

void
VirtualHost::FeedShard(const rollout::ShardEvent& aEvent)
{
  std::vector<rollout::ShardEffect> effects;
  const rollout::Deadlines deadlines =
    rollout::Apply(*m_shard, aEvent, m_around.m_queue->Now(), effects);
  for (const rollout::ShardEffect& effect : effects) {
    std::visit([this](const auto& aTyped) { Run(aTyped); }, effect);
  }
  if (deadlines == rollout::Deadlines::Kept) {
    return;
  }
  const std::optional<core::Instant> next =
    rollout::NextDeadline(*m_shard, m_around.m_queue->Now());
  if (!next) {
    return;
  }
  const uint64_t timer = ++m_shardTimer;
  Deliver(*next - m_around.m_queue->Now(),
          [this, timer, ownership = m_ownership] {
            if (timer == m_shardTimer && ownership == m_ownership) {
              FeedShard(rollout::TimerExpired{});
            }
          });
}

void
VirtualHost::AcceptChunk(const rollout::StartStream& aStream,
                         const Chunk& aChunk)
{
  const auto tokensHeld = [&] {
    const auto group = m_shard->m_groups.find(aStream.m_sample.m_group);
    return group == m_shard->m_groups.end()
             ? UINT32_MAX
             : group->second.m_samples[aStream.m_sample.m_member].m_tokens;
  };
  const bool expected = tokensHeld() == aChunk.m_offset;
  FeedShard(rollout::TokensArrived{ aStream.m_sample,
                                    aStream.m_attempt,
                                    aChunk.m_offset,
                                    aChunk.m_tokens,
                                    aChunk.m_named });
  const bool taken =
    m_shard && expected && tokensHeld() == aChunk.m_offset + aChunk.m_tokens;
  if (taken) {
    TokenTruth& text = m_texts[aStream.m_sample];
    text.insert(text.end(), aChunk.m_tokens, aChunk.m_truth);
  }
}

void
VirtualHost::Run(const rollout::StartStream& aEffect)
{
  const StreamKey key = m_around.m_nextKey();
  m_streams[{ aEffect.m_sample, aEffect.m_attempt }] = { aEffect.m_engine,
                                                         key };
  const core::Duration delay = m_around.m_settings->m_networkDelay;
  const auto owned = [this, delay, ownership = m_ownership](auto aTask) {
    Deliver(delay, [this, ownership, aTask] {
      if (m_shard && ownership == m_ownership) {
        aTask();
      }
    });
  };
  StreamSink sink;
  sink.m_chunk = [this, owned, aEffect](const Chunk& aChunk) {
    owned([this, aEffect, aChunk] { AcceptChunk(aEffect, aChunk); });
  };
  sink.m_end = [this, owned, aEffect](uint32_t aTotal) {
    owned([this, aEffect, aTotal] {
      FeedShard(
        rollout::StreamEnded{ aEffect.m_sample, aEffect.m_attempt, aTotal });
    });
  };
  sink.m_fail = [this, owned, aEffect](const core::Failure& aFailure) {
    owned([this, aEffect, aFailure] {
      FeedShard(
        rollout::StreamFailed{ aEffect.m_sample, aEffect.m_attempt, aFailure });
    });
  };
  m_around.m_engines->at(aEffect.m_engine)
    .Start(key,
           aEffect.m_resumeFrom,
           std::min(m_around.m_lengthOf(aEffect.m_sample), aEffect.m_maxTokens),
           std::move(sink));
}

void
VirtualHost::Run(const rollout::CancelStream& aEffect)
{
  const auto found = m_streams.find({ aEffect.m_sample, aEffect.m_attempt });
  if (found != m_streams.end()) {
    m_around.m_engines->at(found->second.m_engine).Cancel(found->second.m_key);
    m_streams.erase(found);
  }
}

void
VirtualHost::Run(const rollout::DropSample& aEffect)
{
  m_texts.erase(aEffect.m_sample);
}

void
VirtualHost::Run(const rollout::ScoreGroup& aEffect)
{
  m_around.m_score(
    aEffect.m_group, [this, aEffect, ownership = m_ownership](bool aOk) {
      Deliver({}, [this, aEffect, ownership, aOk] {
        if (!m_shard || ownership != m_ownership) {
          return;
        }
        const uint32_t samples = m_around.m_settings->m_shard.m_samplesPerGroup;
        if (aOk) {
          FeedShard(rollout::GroupScored{
            aEffect.m_group, aEffect.m_attempt, samples });
        } else {
          FeedShard(rollout::ScoringFailed{
            aEffect.m_group,
            aEffect.m_attempt,
            core::DeadlineExceeded{ "score", core::Executed::Unknown } });
        }
      });
    });
}

void
VirtualHost::Run(const rollout::DropGroup& aEffect)
{
  std::erase_if(m_texts, [&](const auto& aEntry) {
    return aEntry.first.m_group == aEffect.m_group;
  });
  std::erase_if(m_streams, [&](const auto& aEntry) {
    return aEntry.first.first.m_group == aEffect.m_group;
  });
}

void
VirtualHost::Run(const delivery::SendBatch& aEffect)
{
  PayloadBatch batch;
  batch.m_head = aEffect.m_batch;
  for (const delivery::GroupHead& head : aEffect.m_batch.m_groups) {
    const rollout::GroupProgress& group = m_shard->m_groups.at(head.m_ordinal);
    for (uint32_t member = 0; member < group.m_samples.size(); ++member) {
      const core::SampleId id{ head.m_ordinal, member };
      batch.m_samples[id] = { group.m_samples[member].m_spans, m_texts[id] };
    }
  }
  m_around.m_sendBatch(aEffect.m_pull, std::move(batch));
}

void
VirtualHost::Run(const delivery::RefusePull& aEffect)
{
  m_around.m_refusePull(aEffect.m_pull, aEffect.m_failure);
}

} // namespace heatherdeal::virtualworld
