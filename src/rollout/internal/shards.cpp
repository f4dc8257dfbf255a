#include "rollout/internal/shards.h"

#include <algorithm>

#include "http/exchange.h"
#include "http/server.h"
#include "kernel/log.h"
#include "lease/candidates.h"
#include "rollout/internal/pulljson.h"
#include "weights/newestversion.h"
#include "weights/weightsobject.h"

namespace heatherdeal::rollout {

namespace {

constexpr uint32_t kPercent = 100;
constexpr std::string_view kHostRole = "rollout";
constexpr size_t kCandidatesPerShard = 2;
constexpr core::Duration kCandidacyInterval = std::chrono::seconds(1);
constexpr core::Duration kReleaseTime = std::chrono::milliseconds(500);

const configuration::ModelEngines*
EnginesOf(const configuration::Document& aDocument,
          const core::ServiceId& aService)
{
  const configuration::Service* service =
    configuration::FindService(aDocument, aService);
  return service == nullptr
           ? nullptr
           : std::get_if<configuration::ModelEngines>(&service->m_kind);
}

} // namespace

Shards::Shards(kernel::Context& aContext, const RolloutSettings& aSettings)
  : m_context(aContext)
  , m_settings(aSettings)
  , m_candidacyTimer(aContext.Control(), [this] { UpdateCandidacy(); })
  , m_drainTimer(aContext.Control(), [this] { ResignAll(); })
  , m_resignTimer(aContext.Control(), [this] { m_drainHold.reset(); })
{
}

void
Shards::Start()
{
  const auto server = m_context.Get<http::Server>();
  m_services.m_context = &m_context;
  m_services.m_lease = m_settings.m_lease;
  // Pulls carry the trainer's cursor, so that two owners do no harm.
  m_services.m_lease.m_outage = lease::GoOnUntilTaken{};
  m_services.m_self = { m_context.Self().m_address,
                        server->Settings().m_listen.m_port };
  m_services.m_mailbox = std::make_shared<kernel::Mailbox<ShardSignal>>(
    m_context.Control(),
    [weak = weak_from_this()](std::span<ShardSignal> aSignals) {
      if (const auto self = weak.lock()) {
        self->Handle(aSignals);
      }
    });
  const auto self = shared_from_this();
  server->AddRoute({ "POST", "/v1/pull", [self](http::Exchange& aExchange) {
                      return self->Pull(aExchange);
                    } });
  m_context.Get<configuration::Active>()->Subscribe(
    [self](const configuration::Document& aDocument) {
      self->SetDocument(aDocument);
    });
  m_context.Get<objectstore::Hosts>()->Subscribe(
    [self](std::span<const objectstore::HostEntry>) {
      self->UpdateCandidacy();
      self->UpdateEngines();
    });
  m_context.Get<reports::Reports>()->Subscribe(
    [self](const reports::EngineStatus&) { self->UpdateEngines(); });
  m_context.Get<gossip::Gossip>()->SubscribeVersions(
    [self](const gossip::VersionUpdate& aNews) { self->SetVersion(aNews); });
  m_context.Get<objectstore::ObjectStore>()->Watch(
    std::string(weights::kObjectKind),
    [self](std::span<const objectstore::StoredObject> aObjects) {
      self->SetVersions(aObjects);
    });
}

void
Shards::SetDocument(const configuration::Document& aDocument)
{
  for (const configuration::Job& job : aDocument.m_jobs) {
    AddJob(job);
  }
  UpdateEngines();
}

void
Shards::AddJob(const configuration::Job& aJob)
{
  if (m_owners.contains({ aJob.m_name, 0 })) {
    return;
  }
  const auto prompts = ReadPrompts(aJob.m_promptsFile);
  if (!prompts.ok()) {
    m_context.Metrics().Get("rollout.invalid_prompts").Add();
    kernel::LogFailure(
      kernel::LogLevel::Error, "rollout", http::FailureOf(prompts.status()));
    return;
  }
  m_prompts[aJob.m_name] = *prompts;
  for (uint32_t index = 0; index < aJob.m_shards; ++index) {
    m_owners[{ aJob.m_name, index }] = MakeOwner(aJob, index);
  }
  UpdateCandidacy();
}

std::shared_ptr<ShardOwner>
Shards::MakeOwner(const configuration::Job& aJob, uint32_t aIndex)
{
  auto owner = std::make_shared<ShardOwner>(
    m_services, aJob, aIndex, m_prompts.at(aJob.m_name));
  UpdateEngines(*owner);
  return owner;
}

std::vector<std::string>
Shards::LiveHosts() const
{
  const auto gossip = m_context.Get<gossip::Gossip>();
  const core::Instant now = kernel::Now();
  std::vector<std::string> live{ m_context.Self().m_host };
  const auto hosts = m_context.Get<objectstore::Hosts>()->Read();
  for (const objectstore::HostEntry& host : *hosts) {
    const bool usable = host.m_service == kHostRole && !host.m_leaving &&
                        host.m_name != m_context.Self().m_host &&
                        !gossip->IsLeaving(host.m_name) &&
                        !gossip::IsSuspect(gossip->State(), host.m_name, now);
    if (usable) {
      live.push_back(host.m_name);
    }
  }
  return live;
}

void
Shards::UpdateCandidacy()
{
  m_candidacyTimer.Set(kernel::Now() + kCandidacyInterval);
  if (m_drainHold) {
    return;
  }
  const std::vector<std::string> live = LiveHosts();
  for (auto& [id, owner] : m_owners) {
    const std::string lease =
      id.m_job.m_value + "-" + std::to_string(id.m_index);
    const auto candidates =
      lease::ChooseCandidates(live, lease, kCandidatesPerShard);
    const bool stands =
      std::ranges::find(candidates, m_context.Self().m_host) !=
      candidates.end();
    if (stands && !owner->HasStarted()) {
      owner->Start();
    } else if (!stands && owner->HasStarted() && owner->State() == nullptr) {
      // An owner keeps its shard; a mere follower stops.
      owner->Resign();
      owner = MakeOwner(owner->JobSettings(), id.m_index);
    }
  }
}

uint32_t
Shards::SlotsOf(const configuration::Job& aJob,
                const objectstore::HostEntry& aHost) const
{
  const auto document = m_context.Get<configuration::Active>()->Read();
  const auto* engines = EnginesOf(*document, aJob.m_service);
  if (engines == nullptr) {
    return 0;
  }
  uint32_t weights = 0;
  for (const configuration::Job& job : document->m_jobs) {
    if (job.m_service == aJob.m_service) {
      weights += job.m_weight;
    }
  }
  const uint32_t training =
    aHost.m_slots * engines->m_trainingCeilingPercent / kPercent;
  const uint32_t share =
    training * aJob.m_weight / std::max(1U, weights) / aJob.m_shards;
  return std::max(1U, share);
}

void
Shards::UpdateEngines()
{
  for (const auto& [id, owner] : m_owners) {
    UpdateEngines(*owner);
  }
}

void
Shards::UpdateEngines(ShardOwner& aOwner)
{
  const configuration::Job& job = aOwner.JobSettings();
  const auto& latest = m_context.Get<reports::Reports>()->Latest();
  std::vector<EngineReport> engines;
  std::map<core::UpstreamId, core::Endpoint> endpoints;
  std::vector<core::Endpoint> scorers;
  const auto hosts = m_context.Get<objectstore::Hosts>()->Read();
  for (const objectstore::HostEntry& host : *hosts) {
    if (host.m_service == job.m_scorer.m_value && !host.m_leaving) {
      scorers.push_back(host.m_endpoint);
    }
    const core::UpstreamId id{ host.m_name };
    const auto status = latest.find(id);
    // An engine is used once it has said which weights it serves.
    if (host.m_service != job.m_service.m_value || status == latest.end()) {
      continue;
    }
    engines.push_back({ id,
                        SlotsOf(job, host),
                        status->second.m_version,
                        host.m_leaving || status->second.m_leaving });
    endpoints[id] = host.m_endpoint;
  }
  aOwner.SetScorers(std::move(scorers));
  aOwner.SetEngines(std::move(engines), std::move(endpoints));
}

void
Shards::SetVersions(std::span<const objectstore::StoredObject> aObjects)
{
  for (const objectstore::StoredObject& object : aObjects) {
    const absl::StatusOr<core::WeightVersion> version =
      weights::ParseNewestVersion(object);
    if (version.ok()) {
      SetVersion({ object.m_key.m_name, *version });
    }
  }
}

void
Shards::SetVersion(const gossip::VersionUpdate& aNews)
{
  const auto document = m_context.Get<configuration::Active>()->Read();
  core::WeightVersion& known = m_versions[aNews.m_weights];
  known = std::max(known, aNews.m_version);
  for (const auto& [id, owner] : m_owners) {
    const auto* engines = EnginesOf(*document, owner->JobSettings().m_service);
    if (engines != nullptr && engines->m_weights == aNews.m_weights) {
      owner->SetNewestVersion(known);
    }
  }
}

void
Shards::SpreadVersion(const ShardSignal& aSignal)
{
  const auto* pull = std::get_if<PullRequest>(&aSignal.m_input);
  const auto owner = m_owners.find(aSignal.m_shard);
  if (pull == nullptr || owner == m_owners.end()) {
    return;
  }
  const auto document = m_context.Get<configuration::Active>()->Read();
  const auto* engines =
    EnginesOf(*document, owner->second->JobSettings().m_service);
  if (engines != nullptr) {
    m_context.Get<gossip::Gossip>()->AnnounceVersion(
      { engines->m_weights, pull->m_cursor.m_version });
  }
}

void
Shards::Handle(std::span<ShardSignal> aSignals)
{
  for (ShardSignal& signal : aSignals) {
    SpreadVersion(signal);
    const auto owner = m_owners.find(signal.m_shard);
    if (owner != m_owners.end()) {
      owner->second->Handle(std::move(signal));
      continue;
    }
    if (PullRequest* pull = std::get_if<PullRequest>(&signal.m_input)) {
      pull->m_reply->Set(
        core::Failure{ core::NotFound{ signal.m_shard.m_job.m_value } });
    }
  }
}

boost::asio::awaitable<void>
Shards::Pull(http::Exchange& aExchange)
{
  absl::StatusOr<PullMessage> pull =
    ParsePull(aExchange.ReceivedRequest().m_body);
  if (!pull.ok()) {
    m_context.Metrics().Get("rollout.invalid_pull").Add();
    http::Response refusal =
      http::MakeFailureResponse(http::FailureOf(pull.status()));
    co_await aExchange.RespondIgnoringErrors(std::move(refusal));
    co_return;
  }
  auto reply = std::make_shared<PullReply>(
    m_context.Traffic().Loop(aExchange.LoopIndex()));
  PullRequest request{ std::move(pull->m_cursor),
                       kernel::Now() + pull->m_wait,
                       reply };
  m_services.m_mailbox->Push({ pull->m_shard, 0, std::move(request) });
  const PullAnswer answered = co_await reply->Wait();
  http::Response answer;
  if (const auto* failure = std::get_if<core::Failure>(&answered)) {
    answer = http::MakeFailureResponse(*failure);
  } else {
    answer.m_head.m_headers.push_back({ "Content-Type", "application/json" });
    answer.m_body = ToJson(std::get<BatchAnswer>(answered));
  }
  co_await aExchange.RespondIgnoringErrors(std::move(answer));
}

void
Shards::StartDrain()
{
  m_drainHold = m_context.ProcessShutdown().Acquire();
  bool hasWork = false;
  for (const auto& [id, owner] : m_owners) {
    owner->StartDrain();
    hasWork =
      hasWork || (owner->State() != nullptr && HasWork(*owner->State()));
  }
  m_drainTimer.Set(kernel::Now() +
                   (hasWork ? m_settings.m_drainTime : core::Duration::zero()));
}

void
Shards::ResignAll()
{
  for (const auto& [id, owner] : m_owners) {
    owner->Resign();
  }
  // Leaves the release of the leases time to reach the store.
  m_resignTimer.Set(kernel::Now() + kReleaseTime);
}

boost::json::value
Shards::Dump() const
{
  boost::json::object dump;
  for (const auto& [id, owner] : m_owners) {
    boost::json::object shard;
    shard["owner"] = std::string(lease::HolderOf(owner->Lease()));
    if (const ShardState* state = owner->State()) {
      shard["epoch"] = state->m_delivery.m_epoch;
      shard["groups"] = state->m_groups.size();
      shard["ready"] = state->m_delivery.m_ready.size();
      shard["newest_version"] = state->m_delivery.m_newest.m_number;
      shard["engines"] = state->m_engines.size();
      shard["tokens"] = state->m_totals.m_tokens;
      shard["wasted_tokens"] = state->m_totals.m_wastedTokens;
      shard["resumes"] = state->m_totals.m_resumes;
      shard["too_old"] = state->m_totals.m_tooOld;
      shard["unnamed"] = state->m_totals.m_unnamed;
      shard["abandoned"] = state->m_totals.m_abandoned;
    }
    dump[id.m_job.m_value + "/" + std::to_string(id.m_index)] =
      std::move(shard);
  }
  return dump;
}

} // namespace heatherdeal::rollout
