#include "rollout/internal/shardowner.h"

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"

#include "core/overloaded.h"
#include "http/client.h"
#include "kernel/log.h"
#include "rollout/internal/calls.h"

namespace heatherdeal::rollout {

namespace {

namespace asio = boost::asio;

std::string
FormatShardId(const core::ShardId& aShard)
{
  return aShard.m_job.m_value + "-" + std::to_string(aShard.m_index);
}

uint64_t
ComputeSampleSeed(const core::SampleId& aSample)
{
  constexpr uint64_t kMaxSamplesPerGroup = 1024;
  return aSample.m_group * kMaxSamplesPerGroup + aSample.m_member;
}

} // namespace

ShardOwner::ShardOwner(ShardServices aServices,
                       const configuration::Job& aJob,
                       uint32_t aIndex,
                       std::shared_ptr<const PromptList> aPrompts)
  : m_services(std::move(aServices))
  , m_job(aJob)
  , m_shardId{ aJob.m_name, aIndex }
  , m_prompts(std::move(aPrompts))
  , m_deadlineTimer(m_services.m_context->Control(),
                    [this] { ApplyEvent(TimerExpired{}); })
{
  m_leaseClient = std::make_shared<lease::LeaseClient>(
    *m_services.m_context,
    objectstore::ObjectKey{ "leases", "shard-" + FormatShardId(m_shardId) },
    m_services.m_leasePolicy,
    http::ToText(m_services.m_selfEndpoint),
    lease::LeaseCallbacks{
      [this](const lease::LeaseGranted& aGrant) {
        OnLeaseGranted(aGrant.m_epoch);
      },
      [this](std::string_view aNewHolder) { OnLeaseLost(aNewHolder); },
      nullptr });
}

void
ShardOwner::Start()
{
  m_started = true;
  m_leaseClient->Start();
}

void
ShardOwner::StartDrain()
{
  if (m_state) {
    ApplyEvent(DrainStarted{});
  }
}

void
ShardOwner::Resign()
{
  m_leaseClient->Resign();
}

void
ShardOwner::OnLeaseGranted(uint64_t aEpoch)
{
  m_state = std::make_unique<ShardState>(
    MakeShardState(m_job.m_policy, m_shardId, aEpoch));
  ApplyEvent(delivery::NewestVersionSeen{ m_newestVersion });
  ApplyEvent(EnginesReported{ m_engineReports });
}

void
ShardOwner::OnLeaseLost(std::string_view aNewHolder)
{
  if (!m_state) {
    return;
  }
  ApplyEvent(delivery::OwnershipEnded{ std::string(aNewHolder) });
  m_state.reset();
  m_deadlineTimer.Cancel();
  m_sampleTexts.clear();
  m_groupScores.clear();
}

void
ShardOwner::SetEngines(std::vector<EngineReport> aReports,
                       std::map<core::UpstreamId, core::Endpoint> aEndpoints)
{
  m_engineReports = std::move(aReports);
  m_engineEndpoints = std::move(aEndpoints);
  if (m_state) {
    ApplyEvent(EnginesReported{ m_engineReports });
  }
}

void
ShardOwner::SetScorers(std::vector<core::Endpoint> aScorers)
{
  m_scorers = std::move(aScorers);
}

void
ShardOwner::SetNewestVersion(core::WeightVersion aVersion)
{
  m_newestVersion = std::max(m_newestVersion, aVersion);
  if (m_state) {
    ApplyEvent(delivery::NewestVersionSeen{ m_newestVersion });
  }
}

void
ShardOwner::HandleMessage(ShardMessage aMessage)
{
  const bool isPull = std::holds_alternative<PullRequest>(aMessage.m_input);
  const bool isCurrentEpoch =
    m_state && m_state->m_delivery.m_epoch == aMessage.m_epoch;
  if (isPull || isCurrentEpoch) {
    std::visit([this](auto& aInput) { HandleInput(aInput); }, aMessage.m_input);
  }
}

void
ShardOwner::ApplyEvent(const ShardEvent& aEvent)
{
  std::vector<ShardEffect> effects;
  const DeadlineUpdate deadlineUpdate =
    Apply(*m_state, aEvent, kernel::Now(), effects);
  for (const ShardEffect& effect : effects) {
    std::visit(
      [this](const auto& aConcreteEffect) { ExecuteEffect(aConcreteEffect); },
      effect);
  }
  if (deadlineUpdate == DeadlineUpdate::NotNeeded) {
    return;
  }
  const std::optional<core::Instant> nextDeadline =
    NextDeadline(*m_state, kernel::Now());
  if (nextDeadline) {
    m_deadlineTimer.Set(*nextDeadline);
  }
}

bool
ShardOwner::HasTokenCount(const core::SampleId& aSample, uint32_t aTokens) const
{
  const auto group = m_state->m_groups.find(aSample.m_group);
  return group != m_state->m_groups.end() &&
         group->second.m_samples[aSample.m_member].m_tokens == aTokens;
}

void
ShardOwner::HandleInput(TextArrived& aInput)
{
  const TokensArrived& event = aInput.m_event;
  const uint32_t end = event.m_offset + event.m_tokens;
  const bool isExpectedOffset = HasTokenCount(event.m_sample, event.m_offset);
  ApplyEvent(event);
  // The token count has advanced only if the tokens were accepted.
  if (isExpectedOffset && HasTokenCount(event.m_sample, end)) {
    m_sampleTexts[event.m_sample] += aInput.m_text;
  }
}

void
ShardOwner::HandleInput(ScoresArrived& aInput)
{
  const auto group = m_state->m_groups.find(aInput.m_event.m_group);
  const bool isCurrentAttempt =
    group != m_state->m_groups.end() &&
    group->second.m_scoringAttempt == aInput.m_event.m_attempt;
  if (isCurrentAttempt) {
    m_groupScores[aInput.m_event.m_group] = std::move(aInput.m_scores);
  }
  ApplyEvent(aInput.m_event);
}

void
ShardOwner::HandleInput(PullRequest& aInput)
{
  if (!m_state) {
    aInput.m_pendingResult->Set(core::Failure{
      core::NotOwner{ FormatShardId(m_shardId),
                      std::string(lease::HolderOf(m_leaseClient->State())) } });
    return;
  }
  const uint64_t pull = ++m_lastPullId;
  m_pendingPulls[pull] = aInput.m_pendingResult;
  ApplyEvent(delivery::PullArrived{
    pull, std::move(aInput.m_cursor), aInput.m_deadline });
}

std::function<void(ShardInput)>
ShardOwner::MakeInputSink() const
{
  return [mailbox = m_services.m_mailbox,
          shard = m_shardId,
          epoch = m_state->m_delivery.m_epoch](ShardInput aInput) {
    mailbox->Push({ shard, epoch, std::move(aInput) });
  };
}

std::string
ShardOwner::PromptFor(core::GroupOrdinal aOrdinal) const
{
  return std::string(
    PromptForGroup(*m_prompts, m_shardId, m_job.m_shards, aOrdinal));
}

void
ShardOwner::ExecuteEffect(const StartStream& aEffect)
{
  kernel::Context& context = *m_services.m_context;
  GenerateCall call;
  call.m_startStream = aEffect;
  call.m_peer = m_engineEndpoints[aEffect.m_engine];
  call.m_prompt = PromptFor(aEffect.m_sample.m_group);
  call.m_seed = ComputeSampleSeed(aEffect.m_sample);
  call.m_progressTimeout = m_job.m_policy.m_progressTimeout;
  call.m_cancelled = std::make_shared<std::atomic<bool>>(false);
  if (aEffect.m_resumeFrom > 0) {
    call.m_resumeText = m_sampleTexts[aEffect.m_sample];
  }
  m_streamCancelFlags[{ aEffect.m_sample, aEffect.m_attempt }] =
    call.m_cancelled;
  context.Metrics().Get("rollout.streams").Add();
  const size_t loop = context.Traffic().NextIndex();
  asio::co_spawn(context.Traffic().Loop(loop),
                 StreamSample(context.Get<http::Clients>()->ForLoop(loop),
                              std::move(call),
                              MakeInputSink()),
                 asio::detached);
}

void
ShardOwner::ExecuteEffect(const CancelStream& aEffect)
{
  const auto found =
    m_streamCancelFlags.find({ aEffect.m_sample, aEffect.m_attempt });
  if (found != m_streamCancelFlags.end()) {
    found->second->store(true);
    m_streamCancelFlags.erase(found);
  }
}

void
ShardOwner::ExecuteEffect(const DropSample& aEffect)
{
  m_sampleTexts.erase(aEffect.m_sample);
}

void
ShardOwner::ExecuteEffect(const ScoreGroup& aEffect)
{
  kernel::Context& context = *m_services.m_context;
  if (m_scorers.empty()) {
    MakeInputSink()(
      ScoringFailed{ aEffect.m_group,
                     aEffect.m_attempt,
                     core::NoUpstream{ m_job.m_scorer.m_value } });
    return;
  }
  ScoreCall call;
  call.m_scoreGroup = aEffect;
  call.m_peer = m_scorers[m_nextScorer++ % m_scorers.size()];
  call.m_prompt = PromptFor(aEffect.m_group);
  for (uint32_t member = 0; member < m_job.m_policy.m_samplesPerGroup;
       ++member) {
    call.m_texts.push_back(m_sampleTexts[{ aEffect.m_group, member }]);
  }
  const size_t loop = context.Traffic().NextIndex();
  asio::co_spawn(context.Traffic().Loop(loop),
                 RequestScores(context.Get<http::Clients>()->ForLoop(loop),
                               std::move(call),
                               MakeInputSink()),
                 asio::detached);
}

void
ShardOwner::ExecuteEffect(const DropGroup& aEffect)
{
  m_groupScores.erase(aEffect.m_group);
  for (uint32_t member = 0; member < m_job.m_policy.m_samplesPerGroup;
       ++member) {
    m_sampleTexts.erase({ aEffect.m_group, member });
  }
  std::erase_if(m_streamCancelFlags, [&](const auto& aEntry) {
    return aEntry.first.first.m_group == aEffect.m_group;
  });
}

core::Group
ShardOwner::MakeGroup(core::GroupOrdinal aOrdinal) const
{
  const GroupProgress& progress = m_state->m_groups.at(aOrdinal);
  core::Group group;
  group.m_ordinal = aOrdinal;
  group.m_prompt = PromptFor(aOrdinal);
  for (uint32_t member = 0; member < progress.m_samples.size(); ++member) {
    const SampleProgress& sample = progress.m_samples[member];
    const core::SampleId id{ aOrdinal, member };
    group.m_samples.push_back({ id,
                                m_sampleTexts.at(id),
                                sample.m_tokens,
                                sample.m_spans,
                                m_groupScores.at(aOrdinal).at(member) });
  }
  return group;
}

void
ShardOwner::ExecuteEffect(const delivery::SendBatch& aEffect)
{
  BatchResponse response;
  response.m_batch.m_shard = m_shardId;
  response.m_batch.m_number = aEffect.m_batch.m_number;
  response.m_batch.m_epoch = aEffect.m_batch.m_epoch;
  response.m_abandonedGroups = aEffect.m_batch.m_abandonedGroups;
  for (const delivery::GroupHead& head : aEffect.m_batch.m_groups) {
    response.m_batch.m_groups.push_back(MakeGroup(head.m_ordinal));
  }
  m_services.m_context->Metrics().Get("rollout.batches_sent").Add();
  const auto pull = m_pendingPulls.extract(aEffect.m_pullId);
  pull.mapped()->Set(std::move(response));
}

void
ShardOwner::ExecuteEffect(const delivery::RefusePull& aEffect)
{
  const auto pull = m_pendingPulls.extract(aEffect.m_pullId);
  pull.mapped()->Set(aEffect.m_failure);
}

} // namespace heatherdeal::rollout
