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
ToText(const core::ShardId& aShard)
{
  return aShard.m_job.m_value + "-" + std::to_string(aShard.m_index);
}

uint64_t
SeedOf(const core::SampleId& aSample)
{
  constexpr uint64_t kMembers = 1024;
  return aSample.m_group * kMembers + aSample.m_member;
}

} // namespace

ShardOwner::ShardOwner(ShardServices aServices,
                       const configuration::Job& aJob,
                       uint32_t aIndex,
                       std::shared_ptr<const PromptList> aPrompts)
  : m_services(std::move(aServices))
  , m_job(aJob)
  , m_id{ aJob.m_name, aIndex }
  , m_prompts(std::move(aPrompts))
  , m_timer(m_services.m_context->Control(), [this] { Feed(TimerExpired{}); })
{
  m_lease = std::make_shared<lease::LeaseClient>(
    *m_services.m_context,
    objectstore::ObjectKey{ "leases", "shard-" + ToText(m_id) },
    m_services.m_lease,
    http::ToText(m_services.m_self),
    lease::LeaseCallbacks{
      [this](uint64_t aEpoch) { Granted(aEpoch); },
      [this](std::string_view aNewHolder) { Lost(aNewHolder); } });
}

void
ShardOwner::Start()
{
  m_started = true;
  m_lease->Start();
}

void
ShardOwner::StartDrain()
{
  if (m_state) {
    Feed(DrainStarted{});
  }
}

void
ShardOwner::Resign()
{
  m_lease->Resign();
}

void
ShardOwner::Granted(uint64_t aEpoch)
{
  m_state =
    std::make_unique<ShardState>(MakeShard(m_job.m_policy, m_id, aEpoch));
  Feed(delivery::NewestVersionSeen{ m_newest });
  Feed(EnginesReported{ m_engines });
}

void
ShardOwner::Lost(std::string_view aNewHolder)
{
  if (!m_state) {
    return;
  }
  Feed(delivery::OwnershipEnded{ std::string(aNewHolder) });
  m_state.reset();
  m_timer.Cancel();
  m_texts.clear();
  m_scores.clear();
}

void
ShardOwner::SetEngines(std::vector<EngineReport> aReports,
                       std::map<core::UpstreamId, core::Endpoint> aEndpoints)
{
  m_engines = std::move(aReports);
  m_endpoints = std::move(aEndpoints);
  if (m_state) {
    Feed(EnginesReported{ m_engines });
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
  m_newest = std::max(m_newest, aVersion);
  if (m_state) {
    Feed(delivery::NewestVersionSeen{ m_newest });
  }
}

void
ShardOwner::Handle(ShardSignal aSignal)
{
  const bool isPull = std::holds_alternative<PullRequest>(aSignal.m_input);
  const bool isCurrent =
    m_state && m_state->m_delivery.m_epoch == aSignal.m_epoch;
  if (isPull || isCurrent) {
    std::visit([this](auto& aInput) { Accept(aInput); }, aSignal.m_input);
  }
}

void
ShardOwner::Feed(const ShardEvent& aEvent)
{
  std::vector<ShardEffect> effects;
  const Deadlines deadlines = Apply(*m_state, aEvent, kernel::Now(), effects);
  for (const ShardEffect& effect : effects) {
    std::visit([this](const auto& aTyped) { Run(aTyped); }, effect);
  }
  if (deadlines == Deadlines::Kept) {
    return;
  }
  const std::optional<core::Instant> next =
    NextDeadline(*m_state, kernel::Now());
  if (next) {
    m_timer.Set(*next);
  }
}

bool
ShardOwner::HoldsTokens(const core::SampleId& aSample, uint32_t aTokens) const
{
  const auto group = m_state->m_groups.find(aSample.m_group);
  return group != m_state->m_groups.end() &&
         group->second.m_samples[aSample.m_member].m_tokens == aTokens;
}

void
ShardOwner::Accept(TextArrived& aInput)
{
  const TokensArrived& event = aInput.m_event;
  const uint32_t end = event.m_offset + event.m_tokens;
  const bool expected = HoldsTokens(event.m_sample, event.m_offset);
  Feed(event);
  // The decision tells whether the tokens were taken.
  if (expected && HoldsTokens(event.m_sample, end)) {
    m_texts[event.m_sample] += aInput.m_text;
  }
}

void
ShardOwner::Accept(ScoresArrived& aInput)
{
  const auto group = m_state->m_groups.find(aInput.m_event.m_group);
  const bool current =
    group != m_state->m_groups.end() &&
    group->second.m_scoringAttempt == aInput.m_event.m_attempt;
  if (current) {
    m_scores[aInput.m_event.m_group] = std::move(aInput.m_scores);
  }
  Feed(aInput.m_event);
}

void
ShardOwner::Accept(PullRequest& aInput)
{
  if (!m_state) {
    aInput.m_reply->Set(core::Failure{ core::NotOwner{
      ToText(m_id), std::string(lease::HolderOf(m_lease->State())) } });
    return;
  }
  const uint64_t pull = ++m_lastPull;
  m_pulls[pull] = aInput.m_reply;
  Feed(delivery::PullArrived{
    pull, std::move(aInput.m_cursor), aInput.m_deadline });
}

std::function<void(ShardInput)>
ShardOwner::Sink() const
{
  return [mailbox = m_services.m_mailbox,
          shard = m_id,
          epoch = m_state->m_delivery.m_epoch](ShardInput aInput) {
    mailbox->Push({ shard, epoch, std::move(aInput) });
  };
}

std::string
ShardOwner::Prompt(core::GroupOrdinal aOrdinal) const
{
  return std::string(PromptOf(*m_prompts, m_id, m_job.m_shards, aOrdinal));
}

void
ShardOwner::Run(const StartStream& aEffect)
{
  kernel::Context& context = *m_services.m_context;
  GenerateCall call;
  call.m_start = aEffect;
  call.m_peer = m_endpoints[aEffect.m_engine];
  call.m_prompt = Prompt(aEffect.m_sample.m_group);
  call.m_seed = SeedOf(aEffect.m_sample);
  call.m_progressTime = m_job.m_policy.m_progressTime;
  call.m_cancelled = std::make_shared<std::atomic<bool>>(false);
  if (aEffect.m_resumeFrom > 0) {
    call.m_resumeText = m_texts[aEffect.m_sample];
  }
  m_streams[{ aEffect.m_sample, aEffect.m_attempt }] = call.m_cancelled;
  context.Metrics().Get("rollout.streams").Add();
  const size_t loop = context.Traffic().NextIndex();
  asio::co_spawn(context.Traffic().Loop(loop),
                 Generate(context.Get<http::Clients>()->ForLoop(loop),
                          std::move(call),
                          Sink()),
                 asio::detached);
}

void
ShardOwner::Run(const CancelStream& aEffect)
{
  const auto found = m_streams.find({ aEffect.m_sample, aEffect.m_attempt });
  if (found != m_streams.end()) {
    found->second->store(true);
    m_streams.erase(found);
  }
}

void
ShardOwner::Run(const DropSample& aEffect)
{
  m_texts.erase(aEffect.m_sample);
}

void
ShardOwner::Run(const ScoreGroup& aEffect)
{
  kernel::Context& context = *m_services.m_context;
  if (m_scorers.empty()) {
    Sink()(ScoringFailed{ aEffect.m_group,
                          aEffect.m_attempt,
                          core::NoUpstream{ m_job.m_scorer.m_value } });
    return;
  }
  ScoreCall call;
  call.m_score = aEffect;
  call.m_peer = m_scorers[m_nextScorer++ % m_scorers.size()];
  call.m_prompt = Prompt(aEffect.m_group);
  for (uint32_t member = 0; member < m_job.m_policy.m_samplesPerGroup;
       ++member) {
    call.m_texts.push_back(m_texts[{ aEffect.m_group, member }]);
  }
  const size_t loop = context.Traffic().NextIndex();
  asio::co_spawn(
    context.Traffic().Loop(loop),
    Score(context.Get<http::Clients>()->ForLoop(loop), std::move(call), Sink()),
    asio::detached);
}

void
ShardOwner::Run(const DropGroup& aEffect)
{
  m_scores.erase(aEffect.m_group);
  for (uint32_t member = 0; member < m_job.m_policy.m_samplesPerGroup;
       ++member) {
    m_texts.erase({ aEffect.m_group, member });
  }
  std::erase_if(m_streams, [&](const auto& aEntry) {
    return aEntry.first.first.m_group == aEffect.m_group;
  });
}

core::Group
ShardOwner::MakeGroup(core::GroupOrdinal aOrdinal) const
{
  const GroupProgress& progress = m_state->m_groups.at(aOrdinal);
  core::Group group;
  group.m_ordinal = aOrdinal;
  group.m_prompt = Prompt(aOrdinal);
  for (uint32_t member = 0; member < progress.m_samples.size(); ++member) {
    const SampleProgress& sample = progress.m_samples[member];
    const core::SampleId id{ aOrdinal, member };
    group.m_samples.push_back({ id,
                                m_texts.at(id),
                                sample.m_tokens,
                                sample.m_spans,
                                m_scores.at(aOrdinal).at(member) });
  }
  return group;
}

void
ShardOwner::Run(const delivery::SendBatch& aEffect)
{
  BatchAnswer answer;
  answer.m_batch.m_shard = m_id;
  answer.m_batch.m_number = aEffect.m_batch.m_number;
  answer.m_batch.m_epoch = aEffect.m_batch.m_epoch;
  answer.m_abandoned = aEffect.m_batch.m_abandoned;
  for (const delivery::GroupHead& head : aEffect.m_batch.m_groups) {
    answer.m_batch.m_groups.push_back(MakeGroup(head.m_ordinal));
  }
  m_services.m_context->Metrics().Get("rollout.batches_sent").Add();
  const auto pull = m_pulls.extract(aEffect.m_pull);
  pull.mapped()->Set(std::move(answer));
}

void
ShardOwner::Run(const delivery::RefusePull& aEffect)
{
  const auto pull = m_pulls.extract(aEffect.m_pull);
  pull.mapped()->Set(aEffect.m_failure);
}

} // namespace heatherdeal::rollout
