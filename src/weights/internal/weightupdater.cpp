#include "weights/internal/weightupdater.h"

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"

#include "http/exchange.h"
#include "kernel/eventlog.h"
#include "kernel/sleep.h"
#include "weights/ordercodec.h"

namespace heatherdeal::weights {

namespace {

namespace asio = boost::asio;

// All orders are sent from this traffic loop.
constexpr size_t kOrderLoopIndex = 0;
// A load takes the better part of a second, and engines report its completion
// with a delay.
constexpr core::Duration kFirstPollDelay = std::chrono::milliseconds(950);
constexpr core::Duration kPollInterval = std::chrono::milliseconds(150);

/// An order to one engine, with its destination and its sender.
struct OrderTask
{
  LoadOrder m_order;
  core::Endpoint m_engineEndpoint;
  std::string m_holder;
  std::string m_weightSet;
};

asio::awaitable<absl::StatusOr<EngineReport>>
FetchReport(http::Client& aClient, const OrderTask& aTask)
{
  http::Request request = CodecInUse().m_encodeReport(aTask.m_order.m_engine);
  const absl::StatusOr<http::Response> response =
    co_await aClient.Call(aTask.m_engineEndpoint,
                          std::move(request),
                          http::Reuse::Allowed,
                          aTask.m_order.m_deadline);
  if (!response.ok()) {
    co_return response.status();
  }
  co_return CodecInUse().m_decodeReport(aTask.m_weightSet, *response);
}

asio::awaitable<OrderResponse>
SendOrder(http::Client& aClient,
          const OrderTask& aTask,
          std::optional<uint64_t> aExpectedOrderCount)
{
  const OrderOrigin origin{ aTask.m_holder,
                            aTask.m_weightSet,
                            aExpectedOrderCount };
  http::Request request = CodecInUse().m_encodeOrder(aTask.m_order, origin);
  const absl::StatusOr<http::Response> response =
    co_await aClient.Call(aTask.m_engineEndpoint,
                          std::move(request),
                          http::Reuse::Never,
                          aTask.m_order.m_deadline);
  if (!response.ok()) {
    co_return OrderRefused{ http::FailureOf(response.status()) };
  }
  co_return CodecInUse().m_decodeOrder(aTask.m_order, *response);
}

/// Polls the engine until it reports the version or the order's deadline has
/// passed. Returns whether the engine reported the version.
asio::awaitable<bool>
PollUntilServed(http::Client& aClient, const OrderTask& aTask)
{
  core::Instant nextPoll = kernel::Now() + kFirstPollDelay;
  while (nextPoll < aTask.m_order.m_deadline) {
    co_await kernel::SleepUntil(nextPoll);
    const absl::StatusOr<EngineReport> report =
      co_await FetchReport(aClient, aTask);
    if (report.ok() && report->m_version >= aTask.m_order.m_version) {
      co_return true;
    }
    nextPoll = kernel::Now() + kPollInterval;
  }
  co_return false;
}

/// Logs the outcome of the order and passes it to the updater on the control
/// thread.
void
PostOutcome(kernel::Context& aContext,
            std::shared_ptr<WeightUpdater> aUpdater,
            const OrderTask& aTask,
            std::optional<core::Failure> aFailure)
{
  const LoadOrder& order = aTask.m_order;
  kernel::LogEvent(
    kernel::LogLevel::Info,
    "weights",
    "order",
    { { "engine", order.m_engine.m_value },
      { "version", order.m_version.m_number },
      { "fence", order.m_fence },
      { "outcome", aFailure ? core::Describe(*aFailure) : "carried-out" } });
  RollingUpdateEvent event = VersionObserved{ order.m_engine, order.m_version };
  if (aFailure) {
    event = OrderFailed{ order.m_engine, order.m_version, *aFailure };
  }
  aContext.Control().Post([aUpdater, event, weights = aTask.m_weightSet] {
    aUpdater->HandleEvent(weights, event);
  });
}

/// Sends the order. If engines have to be polled, waits until the order takes
/// effect.
asio::awaitable<void>
DeliverOrder(kernel::Context& aContext,
             std::shared_ptr<WeightUpdater> aUpdater,
             OrderTask aTask)
{
  http::Client& client =
    aContext.Get<http::Clients>()->ForLoop(kOrderLoopIndex);
  const bool mustPoll = CodecInUse().m_encodeReport != nullptr;
  std::optional<uint64_t> expectedOrderCount;
  if (mustPoll) {
    const absl::StatusOr<EngineReport> report =
      co_await FetchReport(client, aTask);
    if (!report.ok() || report->m_busy) {
      const core::Failure failure = core::PeerRefused{
        aTask.m_order.m_engine.m_value, 0, core::Executed::No
      };
      PostOutcome(aContext, aUpdater, aTask, failure);
      co_return;
    }
    if (report->m_version >= aTask.m_order.m_version) {
      PostOutcome(aContext, aUpdater, aTask, std::nullopt);
      co_return;
    }
    expectedOrderCount = report->m_acceptedOrderCount;
  }
  const OrderResponse response =
    co_await SendOrder(client, aTask, expectedOrderCount);
  if (const auto* refused = std::get_if<OrderRefused>(&response)) {
    PostOutcome(aContext, aUpdater, aTask, refused->m_failure);
    co_return;
  }
  if (!mustPoll) {
    co_return;
  }
  const bool alreadyServes = std::holds_alternative<AlreadyServing>(response);
  if (alreadyServes || co_await PollUntilServed(client, aTask)) {
    PostOutcome(aContext, aUpdater, aTask, std::nullopt);
  }
}

} // namespace

WeightUpdater::WeightUpdater(kernel::Context& aContext,
                             const configuration::Service& aService,
                             const WeightsSettings& aSettings)
  : m_context(aContext)
  , m_timer(aContext.Control(), [this] { BroadcastEvent(DeadlineReached{}); })
{
  m_policy.m_orderTimeout = aSettings.m_orderTimeout;
  m_policy.m_unfencedOrderDelay = aSettings.m_orderTimeout;
  lease::LeasePolicy leasePolicy = aSettings.m_lease;
  leasePolicy.m_outagePolicy = lease::ActUntilSuperseded{};
  SetService(aService);
  m_lease = std::make_shared<lease::LeaseClient>(
    aContext,
    objectstore::ObjectKey{ "leases", "weights-" + aService.m_name.m_value },
    leasePolicy,
    aContext.Self().m_host,
    lease::LeaseCallbacks{
      [this](uint64_t aEpoch) { BroadcastEvent(LeaseAcquired{ aEpoch }); },
      [this](std::string_view) { BroadcastEvent(LeaseLost{}); } });
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
  for (const std::string& name : weightSets) {
    m_updates[name].m_policy = m_policy;
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
    const std::optional<core::Instant> deadline = NextDeadline(state);
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
  // A holder that was paused may have lost its lease in the meantime. Engines
  // that check fencing tokens refuse its orders, the others depend on this
  // check.
  const RollingUpdateState& update = m_updates.find(aWeightSet)->second;
  const bool checksFencingToken =
    update.m_engines.at(aOrder.m_engine).m_facts.m_checksFencingToken;
  if (!checksFencingToken &&
      !lease::IsLeaseValid(m_lease->State(), kernel::Now())) {
    m_context.Metrics().Get("weights.order_after_lease").Add();
    return;
  }
  m_context.Metrics().Get("weights.orders").Add();
  asio::co_spawn(
    m_context.Traffic().Loop(kOrderLoopIndex),
    DeliverOrder(m_context,
                 shared_from_this(),
                 OrderTask{ aOrder,
                            m_engines.at(aOrder.m_engine).m_endpoint,
                            m_context.Self().m_host,
                            std::string(aWeightSet) }),
    asio::detached);
}

} // namespace heatherdeal::weights
