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
AddTotals(rollout::ShardTotals& aSum, const rollout::ShardTotals& aTotals)
{
  aSum.m_tokens += aTotals.m_tokens;
  aSum.m_wastedTokens += aTotals.m_wastedTokens;
  aSum.m_resumes += aTotals.m_resumes;
  aSum.m_migrations += aTotals.m_migrations;
  aSum.m_unversionedChunks += aTotals.m_unversionedChunks;
  aSum.m_staleSamples += aTotals.m_staleSamples;
  aSum.m_outdatedEvents += aTotals.m_outdatedEvents;
  aSum.m_scoringFailures += aTotals.m_scoringFailures;
  aSum.m_abandonedGroups += aTotals.m_abandonedGroups;
}

} // namespace

VirtualHost::VirtualHost(HostEnvironment aEnvironment, std::string aName)
  : m_environment(std::move(aEnvironment))
  , m_name(std::move(aName))
{
}

void
VirtualHost::Start()
{
  m_alive = true;
  m_incarnation += 1;
  m_leaseState = {};
  m_leaseState.m_policy = m_environment.m_settings->m_lease;
  m_leaseState.m_self = m_name;
  ApplyLeaseEvent(lease::DeadlineReached{});
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
      m_environment.m_engines->at(stream.m_engine).AbortStream(stream.m_key);
    }
    for (const auto& [ordinal, group] : m_shard->m_groups) {
      for (const rollout::SampleProgress& sample : group.m_samples) {
        m_shard->m_totals.m_wastedTokens += sample.m_tokens;
      }
    }
    AddTotals(m_earlierTotals, m_shard->m_totals);
  }
  m_shard.reset();
  m_tokenOrigins.clear();
  m_streams.clear();
}

void
VirtualHost::Pause(core::Duration aTime)
{
  m_pausedUntil = m_environment.m_queue->Now() + aTime;
}

void
VirtualHost::Resign()
{
  ApplyLeaseEvent(lease::ResignRequested{});
}

rollout::ShardTotals
VirtualHost::Totals() const
{
  rollout::ShardTotals totals = m_earlierTotals;
  if (m_shard) {
    AddTotals(totals, m_shard->m_totals);
  }
  return totals;
}

std::string_view
VirtualHost::KnownOwner() const
{
  return lease::HolderOf(m_leaseState);
}

void
VirtualHost::RunAfter(core::Duration aDelay, std::function<void()> aTask)
{
  m_environment.m_queue->ScheduleAfter(
    aDelay, [this, incarnation = m_incarnation, task = std::move(aTask)] {
      RunWhenNotPaused(incarnation, task);
    });
}

void
VirtualHost::RunWhenNotPaused(uint64_t aIncarnation,
                              std::function<void()> aTask)
{
  if (!m_alive || aIncarnation != m_incarnation) {
    return;
  }
  if (m_environment.m_queue->Now() >= m_pausedUntil) {
    aTask();
    return;
  }
  m_environment.m_queue->ScheduleAt(m_pausedUntil,
                                    [this, aIncarnation, task = aTask] {
                                      RunWhenNotPaused(aIncarnation, task);
                                    });
}

// Lease

void
VirtualHost::ApplyLeaseEvent(const lease::LeaseEvent& aEvent)
{
  std::vector<lease::LeaseEffect> effects;
  lease::Apply(m_leaseState, aEvent, m_environment.m_queue->Now(), effects);
  for (const lease::LeaseEffect& effect : effects) {
    std::visit(
      [this](const auto& aConcreteEffect) { PerformEffect(aConcreteEffect); },
      effect);
  }
  const core::Instant next = lease::NextDeadline(m_leaseState);
  if (next == core::Instant::max()) {
    return;
  }
  const uint64_t timer = ++m_lastLeaseTimer;
  RunAfter(next - m_environment.m_queue->Now(), [this, timer] {
    if (timer == m_lastLeaseTimer) {
      ApplyLeaseEvent(lease::DeadlineReached{});
    }
  });
}

void
VirtualHost::PerformEffect(const lease::ReadRecord&)
{
  const uint64_t incarnation = m_incarnation;
  m_environment.m_store->Read(
    std::string(kLeaseName),
    [this, incarnation](absl::StatusOr<Versioned<lease::LeaseRecord>> aRead) {
      RunWhenNotPaused(incarnation, [this, aRead] {
        if (!aRead.ok()) {
          ApplyLeaseEvent(lease::ReadFailed{ ToFailure(aRead.status()) });
          return;
        }
        lease::LeaseRecord record = aRead->m_value;
        record.m_version = aRead->m_version;
        ApplyLeaseEvent(lease::ReadSucceeded{ record });
      });
    });
}

void
VirtualHost::PerformEffect(const lease::WriteRecord& aEffect)
{
  const uint64_t incarnation = m_incarnation;
  m_environment.m_store->Write(
    std::string(kLeaseName),
    aEffect.m_ifVersion,
    aEffect.m_record,
    [this, incarnation](absl::StatusOr<uint64_t> aVersion) {
      RunWhenNotPaused(incarnation, [this, aVersion] {
        if (aVersion.ok()) {
          ApplyLeaseEvent(lease::WriteSucceeded{ *aVersion });
          return;
        }
        ApplyLeaseEvent(lease::WriteFailed{ ToFailure(aVersion.status()) });
      });
    });
}

void
VirtualHost::PerformEffect(const lease::LeaseGranted& aEffect)
{
  m_ownershipNumber += 1;
  m_shard = rollout::MakeShardState(
    m_environment.m_settings->m_shard, kShard, aEffect.m_epoch);
  ApplyShardEvent(delivery::NewestVersionSeen{ m_newestVersion });
  ApplyShardEvent(rollout::EnginesReported{ m_engineReports });
}

void
VirtualHost::PerformEffect(const lease::LeaseLost& aEffect)
{
  EndOwnership(aEffect.m_newHolder);
}

void
VirtualHost::EndOwnership(std::string_view aNewOwner)
{
  if (!m_shard) {
    return;
  }
  ApplyShardEvent(delivery::OwnershipEnded{ std::string(aNewOwner) });
  AddTotals(m_earlierTotals, m_shard->m_totals);
  m_shard.reset();
  m_ownershipNumber += 1;
  m_tokenOrigins.clear();
  m_streams.clear();
}

// Shard

void
VirtualHost::ReceivePull(uint64_t aPull, const delivery::Cursor& aCursor)
{
  if (!m_alive) {
    return;
  }
  RunAfter({}, [this, aPull, aCursor] {
    if (!m_shard) {
      m_environment.m_refusePull(
        aPull, core::NotOwner{ "job/0", std::string(KnownOwner()) });
      return;
    }
    ApplyShardEvent(delivery::PullArrived{
      aPull,
      aCursor,
      m_environment.m_queue->Now() + m_environment.m_settings->m_pullWait });
  });
}

void
VirtualHost::SetEngineReports(std::vector<rollout::EngineReport> aReports)
{
  RunAfter({}, [this, reports = std::move(aReports)] {
    m_engineReports = reports;
    if (m_shard) {
      ApplyShardEvent(rollout::EnginesReported{ m_engineReports });
    }
  });
}

void
VirtualHost::SetNewestVersion(core::WeightVersion aVersion)
{
  RunAfter({}, [this, aVersion] {
    m_newestVersion = std::max(m_newestVersion, aVersion);
    if (m_shard) {
      ApplyShardEvent(delivery::NewestVersionSeen{ m_newestVersion });
    }
  });
}

void
VirtualHost::ApplyShardEvent(const rollout::ShardEvent& aEvent)
{
  std::vector<rollout::ShardEffect> effects;
  const rollout::DeadlineUpdate deadlineUpdate =
    rollout::Apply(*m_shard, aEvent, m_environment.m_queue->Now(), effects);
  for (const rollout::ShardEffect& effect : effects) {
    std::visit(
      [this](const auto& aConcreteEffect) { PerformEffect(aConcreteEffect); },
      effect);
  }
  if (deadlineUpdate == rollout::DeadlineUpdate::NotNeeded) {
    return;
  }
  const std::optional<core::Instant> next =
    rollout::NextDeadline(*m_shard, m_environment.m_queue->Now());
  if (!next) {
    return;
  }
  const uint64_t timer = ++m_lastShardTimer;
  RunAfter(*next - m_environment.m_queue->Now(),
           [this, timer, ownership = m_ownershipNumber] {
             if (timer == m_lastShardTimer && ownership == m_ownershipNumber) {
               ApplyShardEvent(rollout::TimerExpired{});
             }
           });
}

void
VirtualHost::AcceptChunk(const rollout::StartStream& aStream,
                         const Chunk& aChunk)
{
  const auto heldTokens = [&] {
    const auto group = m_shard->m_groups.find(aStream.m_sample.m_group);
    return group == m_shard->m_groups.end()
             ? UINT32_MAX
             : group->second.m_samples[aStream.m_sample.m_member].m_tokens;
  };
  const bool isExpected = heldTokens() == aChunk.m_offset;
  ApplyShardEvent(rollout::TokensArrived{ aStream.m_sample,
                                          aStream.m_attempt,
                                          aChunk.m_offset,
                                          aChunk.m_tokens,
                                          aChunk.m_reportedVersion });
  const bool isAccepted =
    m_shard && isExpected && heldTokens() == aChunk.m_offset + aChunk.m_tokens;
  if (isAccepted) {
    TokenOrigins& origins = m_tokenOrigins[aStream.m_sample];
    origins.insert(origins.end(), aChunk.m_tokens, aChunk.m_origin);
  }
}

void
VirtualHost::PerformEffect(const rollout::StartStream& aEffect)
{
  const StreamKey key = m_environment.m_nextStreamKey();
  m_streams[{ aEffect.m_sample, aEffect.m_attempt }] = { aEffect.m_engine,
                                                         key };
  const core::Duration delay = m_environment.m_settings->m_networkDelay;
  const auto runIfStillOwner =
    [this, delay, ownership = m_ownershipNumber](auto aTask) {
      RunAfter(delay, [this, ownership, aTask] {
        if (m_shard && ownership == m_ownershipNumber) {
          aTask();
        }
      });
    };
  StreamCallbacks callbacks;
  callbacks.m_onChunk = [this, runIfStillOwner, aEffect](const Chunk& aChunk) {
    runIfStillOwner([this, aEffect, aChunk] { AcceptChunk(aEffect, aChunk); });
  };
  callbacks.m_onEnd = [this, runIfStillOwner, aEffect](uint32_t aTotal) {
    runIfStillOwner([this, aEffect, aTotal] {
      ApplyShardEvent(
        rollout::StreamEnded{ aEffect.m_sample, aEffect.m_attempt, aTotal });
    });
  };
  callbacks.m_onFailure = [this, runIfStillOwner, aEffect](
                            const core::Failure& aFailure) {
    runIfStillOwner([this, aEffect, aFailure] {
      ApplyShardEvent(
        rollout::StreamFailed{ aEffect.m_sample, aEffect.m_attempt, aFailure });
    });
  };
  m_environment.m_engines->at(aEffect.m_engine)
    .OpenStream(key,
                aEffect.m_resumeFrom,
                std::min(m_environment.m_getSampleLength(aEffect.m_sample),
                         aEffect.m_maxTokens),
                std::move(callbacks));
}

void
VirtualHost::PerformEffect(const rollout::CancelStream& aEffect)
{
  const auto found = m_streams.find({ aEffect.m_sample, aEffect.m_attempt });
  if (found != m_streams.end()) {
    m_environment.m_engines->at(found->second.m_engine)
      .AbortStream(found->second.m_key);
    m_streams.erase(found);
  }
}

void
VirtualHost::PerformEffect(const rollout::DropSample& aEffect)
{
  m_tokenOrigins.erase(aEffect.m_sample);
}

void
VirtualHost::PerformEffect(const rollout::ScoreGroup& aEffect)
{
  m_environment.m_scoreGroup(
    aEffect.m_group,
    [this, aEffect, ownership = m_ownershipNumber](bool aSucceeded) {
      RunAfter({}, [this, aEffect, ownership, aSucceeded] {
        if (!m_shard || ownership != m_ownershipNumber) {
          return;
        }
        const uint32_t samples =
          m_environment.m_settings->m_shard.m_samplesPerGroup;
        if (aSucceeded) {
          ApplyShardEvent(rollout::GroupScored{
            aEffect.m_group, aEffect.m_attempt, samples });
        } else {
          ApplyShardEvent(rollout::ScoringFailed{
            aEffect.m_group,
            aEffect.m_attempt,
            core::DeadlineExceeded{ "score", core::Executed::Unknown } });
        }
      });
    });
}

void
VirtualHost::PerformEffect(const rollout::DropGroup& aEffect)
{
  std::erase_if(m_tokenOrigins, [&](const auto& aEntry) {
    return aEntry.first.m_group == aEffect.m_group;
  });
  std::erase_if(m_streams, [&](const auto& aEntry) {
    return aEntry.first.first.m_group == aEffect.m_group;
  });
}

void
VirtualHost::PerformEffect(const delivery::SendBatch& aEffect)
{
  PayloadBatch batch;
  batch.m_head = aEffect.m_batch;
  for (const delivery::GroupHead& head : aEffect.m_batch.m_groups) {
    const rollout::GroupProgress& group = m_shard->m_groups.at(head.m_ordinal);
    for (uint32_t member = 0; member < group.m_samples.size(); ++member) {
      const core::SampleId id{ head.m_ordinal, member };
      batch.m_samples[id] = { group.m_samples[member].m_spans,
                              m_tokenOrigins[id] };
    }
  }
  m_environment.m_sendBatch(aEffect.m_pullId, std::move(batch));
}

void
VirtualHost::PerformEffect(const delivery::RefusePull& aEffect)
{
  m_environment.m_refusePull(aEffect.m_pullId, aEffect.m_failure);
}

} // namespace heatherdeal::virtualworld
