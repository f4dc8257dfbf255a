#include "weights/internal/weightupdater.h"

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"

#include "kernel/eventlog.h"
#include "kernel/sleep.h"
#include "weights/internal/orderdelivery.h"

namespace heatherdeal::weights {

namespace {

namespace asio = boost::asio;

// All orders are sent from this traffic loop.
constexpr size_t kOrderLoopIndex = 0;
std::string_view
ToLogText(OrderDelay aDelay)
{
  switch (aDelay) {
    case OrderDelay::None:
      return "none";
    case OrderDelay::NoLease:
      return "no-lease";
    case OrderDelay::PredecessorMayAct:
      return "predecessor-may-act";
    case OrderDelay::LeaseExpired:
      return "lease-expired";
    case OrderDelay::AwaitingRetry:
      return "awaiting-retry";
  }
  return "unknown";
}

} // namespace

WeightUpdater::WeightUpdater(kernel::Context& aContext,
                             const configuration::Service& aService,
                             const WeightsSettings& aSettings)
  : m_context(aContext)
  , m_timer(aContext.Control(), [this] { BroadcastEvent(DeadlineReached{}); })
{
  m_policy.m_orderTimeout = aSettings.m_orderTimeout;
  m_policy.m_unfencedOrderDelay = aSettings.m_lease.m_duration;
  lease::LeasePolicy leasePolicy = aSettings.m_lease;
  leasePolicy.m_outagePolicy = lease::ActUntilSuperseded{};
  SetService(aService);
  m_lease = std::make_shared<lease::LeaseClient>(
    aContext,
    objectstore::ObjectKey{ "leases", "weights-" + aService.m_name.m_value },
    leasePolicy,
    aContext.Self().m_host,
    lease::LeaseCallbacks{
      [this](const lease::LeaseGranted& aGrant) { OnLeaseGranted(aGrant); },
      [this](std::string_view) { OnLeaseLost(); },
      [this](const lease::LeaseExtended& aExtension) {
        OnLeaseExtended(aExtension.m_actUntil);
      } });
}

void
WeightUpdater::OnLeaseGranted(const lease::LeaseGranted& aGrant)
{
  m_permission = std::make_shared<lease::ActPermission>(aGrant.m_actUntil);
  m_grant = LeaseAcquired{ aGrant.m_epoch,
                           aGrant.m_actUntil,
                           aGrant.m_predecessorActedUntil };
  BroadcastEvent(*m_grant);
  ReportProgress();
}

void
WeightUpdater::OnLeaseExtended(core::Instant aActUntil)
{
  m_permission->ExtendTo(aActUntil);
  m_grant->m_actUntil = aActUntil;
  BroadcastEvent(LeaseExtended{ aActUntil });
  ReportProgress();
}

void
WeightUpdater::OnLeaseLost()
{
  m_permission->Revoke();
  m_grant.reset();
  BroadcastEvent(LeaseLost{});
  ReportProgress();
}

void
WeightUpdater::Start()
{
  m_lease->Start();
}

void
WeightUpdater::Resign()
{
  m_lease->Resign();
}

void
WeightUpdater::SetService(const configuration::Service& aService)
{
  m_service = aService;
  const auto* engines =
    std::get_if<configuration::ModelEngines>(&m_service.m_kind);
  if (engines == nullptr) {
    return;
  }
  std::vector<std::string> weightSets = engines->m_additionalWeights;
  weightSets.push_back(engines->m_weights);
  m_policy.m_floorPercent = engines->m_floorPercent;
  // The weight store's limit of concurrent loads is divided among the weight
  // sets.
  const auto setCount = static_cast<uint32_t>(weightSets.size());
  m_policy.m_concurrentLoads =
    (engines->m_concurrentLoads + setCount - 1) / setCount;
  const size_t removedCount = std::erase_if(m_updates, [&](const auto& aEntry) {
    return std::ranges::find(weightSets, aEntry.first) == weightSets.end();
  });
  bool hasChanged = removedCount > 0;
  for (const std::string& name : weightSets) {
    const bool isNew = m_updates.try_emplace(name).second;
    m_updates[name].m_policy = m_policy;
    if (isNew && m_grant) {
      HandleEvent(name, *m_grant);
    }
    hasChanged = hasChanged || isNew;
  }
  if (hasChanged) {
    DistributeEngines();
    ApplyListedVersions();
  }
}

void
WeightUpdater::SetHosts(std::span<const objectstore::HostEntry> aHosts)
{
  m_engines.clear();
  for (const objectstore::HostEntry& host : aHosts) {
    if (host.m_service == m_service.m_name.m_value) {
      m_engines.emplace(core::UpstreamId{ host.m_name }, host);
    }
  }
  DistributeEngines();
  ApplyListedVersions();
}

void
WeightUpdater::DistributeEngines()
{
  std::map<core::UpstreamId, VersionsByWeightSet> heldVersions;
  for (const auto& [id, engine] : m_engines) {
    VersionsByWeightSet& versions = heldVersions[id];
    for (const objectstore::ServedWeights& weights : engine.m_weights) {
      versions[weights.m_name] = weights.m_version;
    }
  }
  VersionsByWeightSet targets;
  for (const auto& [name, update] : m_updates) {
    targets[name] = update.m_targetVersion;
  }
  m_assignment = AssignEngines(m_assignment, heldVersions, targets);
  std::map<std::string, EngineListChanged, std::less<>> engineLists;
  for (const auto& [id, name] : m_assignment) {
    const objectstore::HostEntry& engine = m_engines.at(id);
    const bool checksFencingToken =
      std::holds_alternative<objectstore::ChecksFencingToken>(
        engine.m_fencingCheck);
    engineLists[name].m_engines.push_back(
      { id, checksFencingToken, engine.m_leaving });
  }
  for (const auto& [name, update] : m_updates) {
    HandleEvent(name, engineLists[name]);
  }
}

void
WeightUpdater::ApplyListedVersions()
{
  for (const auto& [id, engine] : m_engines) {
    for (const objectstore::ServedWeights& weights : engine.m_weights) {
      HandleEvent(weights.m_name, VersionObserved{ id, weights.m_version });
    }
  }
}

void
WeightUpdater::BroadcastEvent(const RollingUpdateEvent& aEvent)
{
  for (const auto& [name, update] : m_updates) {
    HandleEvent(name, aEvent);
  }
}

void
WeightUpdater::HandleEvent(std::string_view aWeightSet,
                           const RollingUpdateEvent& aEvent)
{
  const auto update = m_updates.find(aWeightSet);
  if (update == m_updates.end()) {
    return;
  }
  std::vector<RollingUpdateEffect> effects;
  Apply(update->second, aEvent, kernel::Now(), effects);
  for (const RollingUpdateEffect& effect : effects) {
    std::visit([&](const auto& aTyped) { Execute(update->first, aTyped); },
               effect);
  }
  std::optional<core::Instant> nextDeadline;
  for (const auto& [name, state] : m_updates) {
    const std::optional<core::Instant> deadline =
      NextDeadline(state, kernel::Now());
    if (deadline && (!nextDeadline || *deadline < *nextDeadline)) {
      nextDeadline = deadline;
    }
  }
  if (nextDeadline) {
    m_timer.Set(*nextDeadline);
  }
}

void
WeightUpdater::Execute(std::string_view aWeightSet, const LoadOrder& aOrder)
{
  const RollingUpdateState& update = m_updates.find(aWeightSet)->second;
  m_context.Metrics().Get("weights.orders").Add();
  OrderTask task;
  task.m_order = aOrder;
  task.m_engineEndpoint = m_engines.at(aOrder.m_engine).m_endpoint;
  task.m_holder = m_context.Self().m_host;
  task.m_weightSet = aWeightSet;
  task.m_checksFencingToken =
    update.m_engines.at(aOrder.m_engine).m_facts.m_checksFencingToken;
  task.m_permission = m_permission;
  auto done = [self = shared_from_this(), set = std::string(aWeightSet)](
                const RollingUpdateEvent& aOutcome) {
    self->m_context.Control().Post(
      [self, set, aOutcome] { self->HandleEvent(set, aOutcome); });
  };
  asio::co_spawn(
    m_context.Traffic().Loop(kOrderLoopIndex),
    DeliverOrder(m_context.Get<http::Clients>()->ForLoop(kOrderLoopIndex),
                 std::move(task),
                 std::move(done)),
    asio::detached);
}

void
WeightUpdater::ReportProgress()
{
  uint64_t enginesBehind = 0;
  for (const auto& [name, state] : m_updates) {
    enginesBehind += state.m_engines.size() - CountEnginesAtTarget(state);
    ReportOrderDelay(name, state);
  }
  const core::Instant now = kernel::Now();
  if (enginesBehind == 0) {
    m_behindSince.reset();
  } else if (!m_behindSince) {
    m_behindSince = now;
  }
  const core::Duration behindFor =
    m_behindSince ? now - *m_behindSince : core::Duration::zero();
  kernel::Counters& metrics = m_context.Metrics();
  metrics.GaugeOf("weights.engines_behind").Set(enginesBehind);
  metrics.GaugeOf("weights.behind_ms").Set(kernel::Milliseconds(behindFor));
}

void
WeightUpdater::ReportOrderDelay(std::string_view aWeightSet,
                                const RollingUpdateState& aState)
{
  const OrderDelay delay = FindOrderDelay(aState, kernel::Now());
  OrderDelay& logged = m_loggedDelays[std::string(aWeightSet)];
  if (delay == logged) {
    return;
  }
  logged = delay;
  kernel::LogEvent(kernel::LogLevel::Info,
                   "weights",
                   "orders-delayed",
                   { { "weights", aWeightSet },
                     { "reason", ToLogText(delay) },
                     { "epoch", aState.m_epoch },
                     { "target", aState.m_targetVersion.m_number },
                     { "engines", aState.m_engines.size() },
                     { "at_target", CountEnginesAtTarget(aState) } });
}

} // namespace heatherdeal::weights
