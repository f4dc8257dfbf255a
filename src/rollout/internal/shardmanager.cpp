#include "rollout/internal/shardmanager.h"

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

constexpr uint32_t kMaxPercent = 100;
constexpr size_t kCandidatesPerShard = 2;
constexpr core::Duration kCandidacyInterval = std::chrono::seconds(1);
constexpr core::Duration kLeaseReleaseGracePeriod =
  std::chrono::milliseconds(500);

const configuration::ModelEngines*
FindModelEngines(const configuration::Document& aDocument,
                 const core::ServiceId& aService)
{
  const configuration::Service* service =
    configuration::FindService(aDocument, aService);
  return service == nullptr
           ? nullptr
           : std::get_if<configuration::ModelEngines>(&service->m_kind);
}

} // namespace

ShardManager::ShardManager(kernel::Context& aContext,
                           const RolloutSettings& aSettings)
  : m_context(aContext)
  , m_settings(aSettings)
  , m_candidacyTimer(aContext.Control(), [this] { UpdateCandidacy(); })
  , m_drainTimer(aContext.Control(), [this] { ResignAllLeases(); })
  , m_leaseReleaseTimer(aContext.Control(), [this] { m_shutdownHold.reset(); })
{
}

void
ShardManager::Start()
{
  const auto server = m_context.Get<http::Server>();
  m_services.m_context = &m_context;
  m_services.m_leasePolicy = m_settings.m_leasePolicy;
  // Each pull carries the trainer's cursor, so that two concurrent owners of a
  // shard are harmless.
  m_services.m_leasePolicy.m_outagePolicy = lease::ActUntilSuperseded{};
  m_services.m_selfEndpoint = { m_context.Self().m_address,
                                server->Settings().m_listen.m_port };
  m_services.m_mailbox = std::make_shared<kernel::Mailbox<ShardMessage>>(
    m_context.Control(),
    [weak = weak_from_this()](std::span<ShardMessage> aMessages) {
      if (const auto self = weak.lock()) {
        self->HandleMessages(aMessages);
      }
    });
  const auto self = shared_from_this();
  server->AddRoute({ "POST", "/v1/pull", [self](http::Exchange& aExchange) {
                      return self->ServePull(aExchange);
                    } });
  m_context.Get<configuration::ActiveConfiguration>()->Subscribe(
    [self](const configuration::Document& aDocument) {
      self->ApplyConfiguration(aDocument);
    });
  m_context.Get<objectstore::Hosts>()->Subscribe(
    [self](std::span<const objectstore::HostEntry>) {
      self->UpdateCandidacy();
      self->UpdateEngines();
    });
  m_context.Get<reports::EngineReports>()->Subscribe(
    [self](const reports::EngineStatus&) { self->UpdateEngines(); });
  m_context.Get<gossip::Gossip>()->SubscribeVersions(
    [self](const gossip::VersionUpdate& aUpdate) {
      self->UpdateNewestVersion(aUpdate);
    });
  m_context.Get<objectstore::ObjectStore>()->Watch(
    std::string(weights::kObjectKind),
    [self](std::span<const objectstore::StoredObject> aObjects) {
      self->UpdateNewestVersions(aObjects);
    });
}

void
ShardManager::ApplyConfiguration(const configuration::Document& aDocument)
{
  for (const configuration::Job& job : aDocument.m_jobs) {
    AddJob(job);
  }
  UpdateEngines();
}

void
ShardManager::AddJob(const configuration::Job& aJob)
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
ShardManager::MakeOwner(const configuration::Job& aJob, uint32_t aIndex)
{
  auto owner = std::make_shared<ShardOwner>(
    m_services, aJob, aIndex, m_prompts.at(aJob.m_name));
  UpdateEngines(*owner);
  return owner;
}

std::vector<std::string>
ShardManager::ListLiveHosts() const
{
  const auto gossip = m_context.Get<gossip::Gossip>();
  const core::Instant now = kernel::Now();
  std::vector<std::string> liveHosts{ m_context.Self().m_host };
  const auto hosts = m_context.Get<objectstore::Hosts>()->Read();
  for (const objectstore::HostEntry& host : *hosts) {
    const bool isLive = host.m_service == objectstore::kRolloutRole &&
                        !host.m_leaving &&
                        host.m_name != m_context.Self().m_host &&
                        !gossip->IsLeaving(host.m_name) &&
                        !gossip::IsSuspect(gossip->State(), host.m_name, now);
    if (isLive) {
      liveHosts.push_back(host.m_name);
    }
  }
  return liveHosts;
}

void
ShardManager::UpdateCandidacy()
{
  m_candidacyTimer.Set(kernel::Now() + kCandidacyInterval);
  if (m_shutdownHold) {
    return;
  }
  const std::vector<std::string> liveHosts = ListLiveHosts();
  for (auto& [id, owner] : m_owners) {
    const std::string leaseName =
      id.m_job.m_value + "-" + std::to_string(id.m_index);
    const auto candidates =
      lease::ChooseCandidates(liveHosts, leaseName, kCandidatesPerShard);
    const bool isCandidate =
      std::ranges::find(candidates, m_context.Self().m_host) !=
      candidates.end();
    if (isCandidate && !owner->HasStarted()) {
      owner->Start();
    } else if (!isCandidate && owner->HasStarted() &&
               owner->State() == nullptr) {
      // The current owner keeps the lease; a candidate that does not hold it
      // withdraws.
      owner->Resign();
      owner = MakeOwner(owner->JobSettings(), id.m_index);
    }
  }
}

uint32_t
ShardManager::ComputeSlotsPerShard(const configuration::Job& aJob,
                                   const objectstore::HostEntry& aHost) const
{
  const auto document =
    m_context.Get<configuration::ActiveConfiguration>()->Read();
  const auto* engines = FindModelEngines(*document, aJob.m_service);
  if (engines == nullptr) {
    return 0;
  }
  uint32_t totalWeight = 0;
  for (const configuration::Job& job : document->m_jobs) {
    if (job.m_service == aJob.m_service) {
      totalWeight += job.m_weight;
    }
  }
  const uint32_t trainingSlots =
    aHost.m_slots * engines->m_trainingCeilingPercent / kMaxPercent;
  const uint32_t slotsPerShard =
    trainingSlots * aJob.m_weight / std::max(1U, totalWeight) / aJob.m_shards;
  return std::max(1U, slotsPerShard);
}

void
ShardManager::UpdateEngines()
{
  for (const auto& [id, owner] : m_owners) {
    UpdateEngines(*owner);
  }
}

void
ShardManager::UpdateEngines(ShardOwner& aOwner)
{
  const configuration::Job& job = aOwner.JobSettings();
  const auto& latestStatuses =
    m_context.Get<reports::EngineReports>()->LatestStatuses();
  std::vector<EngineReport> engines;
  std::map<core::UpstreamId, core::Endpoint> endpoints;
  std::vector<core::Endpoint> scorers;
  const auto hosts = m_context.Get<objectstore::Hosts>()->Read();
  for (const objectstore::HostEntry& host : *hosts) {
    if (host.m_service == job.m_scorer.m_value && !host.m_leaving) {
      scorers.push_back(host.m_endpoint);
    }
    const core::UpstreamId id{ host.m_name };
    const auto status = latestStatuses.find(id);
    // An engine is used only after it has reported which weights it serves.
    if (host.m_service != job.m_service.m_value ||
        status == latestStatuses.end()) {
      continue;
    }
    engines.push_back({ id,
                        ComputeSlotsPerShard(job, host),
                        status->second.m_version,
                        host.m_leaving || status->second.m_leaving,
                        { job.m_service, host.m_softwareVersion } });
    endpoints[id] = host.m_endpoint;
  }
  aOwner.SetScorers(std::move(scorers));
  aOwner.SetEngines(std::move(engines), std::move(endpoints));
}

void
ShardManager::UpdateNewestVersions(
  std::span<const objectstore::StoredObject> aObjects)
{
  for (const objectstore::StoredObject& object : aObjects) {
    const absl::StatusOr<core::WeightVersion> version =
      weights::ParseNewestVersion(object);
    if (version.ok()) {
      UpdateNewestVersion({ object.m_key.m_name, *version });
    }
  }
}

void
ShardManager::UpdateNewestVersion(const gossip::VersionUpdate& aUpdate)
{
  const auto document =
    m_context.Get<configuration::ActiveConfiguration>()->Read();
  core::WeightVersion& newestVersion = m_newestVersions[aUpdate.m_weights];
  newestVersion = std::max(newestVersion, aUpdate.m_version);
  for (const auto& [id, owner] : m_owners) {
    const auto* engines =
      FindModelEngines(*document, owner->JobSettings().m_service);
    if (engines != nullptr && engines->m_weights == aUpdate.m_weights) {
      owner->SetNewestVersion(newestVersion);
    }
  }
}

void
ShardManager::GossipTrainerVersion(const ShardMessage& aMessage)
{
  const auto* pull = std::get_if<PullRequest>(&aMessage.m_input);
  const auto owner = m_owners.find(aMessage.m_shard);
  if (pull == nullptr || owner == m_owners.end()) {
    return;
  }
  const auto document =
    m_context.Get<configuration::ActiveConfiguration>()->Read();
  const auto* engines =
    FindModelEngines(*document, owner->second->JobSettings().m_service);
  if (engines != nullptr) {
    m_context.Get<gossip::Gossip>()->AnnounceVersion(
      { engines->m_weights, pull->m_cursor.m_publishedVersion });
  }
}

void
ShardManager::HandleMessages(std::span<ShardMessage> aMessages)
{
  for (ShardMessage& message : aMessages) {
    GossipTrainerVersion(message);
    const auto owner = m_owners.find(message.m_shard);
    if (owner != m_owners.end()) {
      owner->second->HandleMessage(std::move(message));
      continue;
    }
    if (PullRequest* pull = std::get_if<PullRequest>(&message.m_input)) {
      pull->m_pendingResult->Set(
        core::Failure{ core::NotFound{ message.m_shard.m_job.m_value } });
    }
  }
}

boost::asio::awaitable<void>
ShardManager::ServePull(http::Exchange& aExchange)
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
  auto pendingResult = std::make_shared<PendingPullResult>(
    m_context.Traffic().Loop(aExchange.LoopIndex()));
  PullRequest request{ std::move(pull->m_cursor),
                       kernel::Now() + pull->m_maxWait,
                       pendingResult };
  m_services.m_mailbox->Push({ pull->m_shard, 0, std::move(request) });
  const PullResult result = co_await pendingResult->Wait();
  http::Response response;
  if (const auto* failure = std::get_if<core::Failure>(&result)) {
    response = http::MakeFailureResponse(*failure);
  } else {
    response.m_head.m_headers.push_back({ "Content-Type", "application/json" });
    response.m_body = ToJson(std::get<BatchResponse>(result));
  }
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

void
ShardManager::StartDrain()
{
  m_shutdownHold = m_context.ProcessShutdown().Acquire();
  bool hasWork = false;
  for (const auto& [id, owner] : m_owners) {
    owner->StartDrain();
    hasWork = hasWork || (owner->State() != nullptr &&
                          HasUnfinishedGroups(*owner->State()));
  }
  m_drainTimer.Set(kernel::Now() + (hasWork ? m_settings.m_drainTimeout
                                            : core::Duration::zero()));
}

void
ShardManager::ResignAllLeases()
{
  for (const auto& [id, owner] : m_owners) {
    owner->Resign();
  }
  // Gives the requests that release the leases time to reach the object store.
  m_leaseReleaseTimer.Set(kernel::Now() + kLeaseReleaseGracePeriod);
}

boost::json::value
ShardManager::Dump() const
{
  boost::json::object dump;
  for (const auto& [id, owner] : m_owners) {
    boost::json::object shard;
    shard["owner"] = std::string(lease::HolderOf(owner->Lease()));
    if (const ShardState* state = owner->State()) {
      shard["epoch"] = state->m_delivery.m_epoch;
      shard["groups"] = state->m_groups.size();
      shard["ready"] = state->m_delivery.m_readyGroups.size();
      shard["newest_version"] = state->m_delivery.m_newestVersion.m_number;
      shard["engines"] = state->m_engines.size();
      shard["tokens"] = state->m_totals.m_tokens;
      shard["wasted_tokens"] = state->m_totals.m_wastedTokens;
      shard["resumes"] = state->m_totals.m_resumes;
      shard["too_old"] = state->m_totals.m_staleSamples;
      shard["unnamed"] = state->m_totals.m_unversionedChunks;
      shard["abandoned"] = state->m_totals.m_abandonedGroups;
    }
    dump[id.m_job.m_value + "/" + std::to_string(id.m_index)] =
      std::move(shard);
  }
  return dump;
}

} // namespace heatherdeal::rollout
