#include "weights/internal/serviceweights.h"

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"

#include "http/exchange.h"
#include "kernel/eventlog.h"
#include "kernel/sleep.h"
#include "weights/ordercodec.h"

namespace heatherdeal::weights {

namespace {

namespace asio = boost::asio;

constexpr size_t kLoopIndex = 0;
// A load takes the better part of a second; engines report with a lag.
constexpr core::Duration kReportAfter = std::chrono::milliseconds(950);
constexpr core::Duration kReportAgain = std::chrono::milliseconds(150);

/// One order on its way, and who gives it.
struct OrderTask
{
  OrderLoad m_order;
  core::Endpoint m_peer;
  std::string m_holder;
  std::string m_weights;
};

asio::awaitable<absl::StatusOr<EngineReport>>
AskReport(http::Client& aClient, const OrderTask& aTask)
{
  http::Request request = CodecInUse().m_encodeReport(aTask.m_order.m_engine);
  const absl::StatusOr<http::Response> answer =
    co_await aClient.Call(aTask.m_peer,
                          std::move(request),
                          http::Reuse::Allowed,
                          aTask.m_order.m_deadline);
  if (!answer.ok()) {
    co_return answer.status();
  }
  co_return CodecInUse().m_decodeReport(aTask.m_weights, *answer);
}

asio::awaitable<OrderAnswer>
GiveOrder(http::Client& aClient,
          const OrderTask& aTask,
          std::optional<uint64_t> aExpected)
{
  const OrderOrigin origin{ aTask.m_holder, aTask.m_weights, aExpected };
  http::Request request = CodecInUse().m_encodeOrder(aTask.m_order, origin);
  const absl::StatusOr<http::Response> answer =
    co_await aClient.Call(aTask.m_peer,
                          std::move(request),
                          http::Reuse::Never,
                          aTask.m_order.m_deadline);
  if (!answer.ok()) {
    co_return OrderRefused{ http::FailureOf(answer.status()) };
  }
  co_return CodecInUse().m_decodeOrder(aTask.m_order, *answer);
}

/// Asks until the engine itself names the version, or the order's deadline.
asio::awaitable<bool>
AwaitVersion(http::Client& aClient, const OrderTask& aTask)
{
  core::Instant next = kernel::Now() + kReportAfter;
  while (next < aTask.m_order.m_deadline) {
    co_await kernel::SleepUntil(next);
    const absl::StatusOr<EngineReport> report =
      co_await AskReport(aClient, aTask);
    if (report.ok() && report->m_version >= aTask.m_order.m_version) {
      co_return true;
    }
    next = kernel::Now() + kReportAgain;
  }
  co_return false;
}

void
Report(kernel::Context& aContext,
       std::shared_ptr<ServiceWeights> aOwner,
       const OrderTask& aTask,
       std::optional<core::Failure> aFailure)
{
  const OrderLoad& order = aTask.m_order;
  kernel::LogEvent(
    kernel::LogLevel::Info,
    "weights",
    "order",
    { { "engine", order.m_engine.m_value },
      { "version", order.m_version.m_number },
      { "fence", order.m_fence },
      { "outcome", aFailure ? core::Describe(*aFailure) : "carried-out" } });
  WaveEvent event = VersionObserved{ order.m_engine, order.m_version };
  if (aFailure) {
    event = OrderFailed{ order.m_engine, order.m_version, *aFailure };
  }
  aContext.Control().Post([aOwner, event, weights = aTask.m_weights] {
    aOwner->Feed(weights, event);
  });
}

/// Gives the order and, where engines have to be asked, follows it up.
asio::awaitable<void>
SendOrder(kernel::Context& aContext,
          std::shared_ptr<ServiceWeights> aOwner,
          OrderTask aTask)
{
  http::Client& client = aContext.Get<http::Clients>()->ForLoop(kLoopIndex);
  const bool asks = CodecInUse().m_encodeReport != nullptr;
  std::optional<uint64_t> expected;
  if (asks) {
    const absl::StatusOr<EngineReport> report =
      co_await AskReport(client, aTask);
    if (!report.ok() || report->m_busy) {
      const core::Failure failure = core::PeerRefused{
        aTask.m_order.m_engine.m_value, 0, core::Executed::No
      };
      Report(aContext, aOwner, aTask, failure);
      co_return;
    }
    if (report->m_version >= aTask.m_order.m_version) {
      Report(aContext, aOwner, aTask, std::nullopt);
      co_return;
    }
    expected = report->m_orders;
  }
  const OrderAnswer answer = co_await GiveOrder(client, aTask, expected);
  if (const auto* refused = std::get_if<OrderRefused>(&answer)) {
    Report(aContext, aOwner, aTask, refused->m_failure);
    co_return;
  }
  if (!asks) {
    co_return;
  }
  const bool holds = std::holds_alternative<OrderHolds>(answer);
  if (holds || co_await AwaitVersion(client, aTask)) {
    Report(aContext, aOwner, aTask, std::nullopt);
  }
}

} // namespace

ServiceWeights::ServiceWeights(kernel::Context& aContext,
                               const configuration::Service& aService,
                               const WeightsSettings& aSettings)
  : m_context(aContext)
  , m_timer(aContext.Control(), [this] { FeedAll(WaveTimer{}); })
{
  m_policy.m_orderTime = aSettings.m_orderTime;
  m_policy.m_waitOut = aSettings.m_orderTime;
  lease::LeasePolicy leasePolicy = aSettings.m_lease;
  leasePolicy.m_outage = lease::GoOnUntilTaken{};
  SetService(aService);
  m_lease = std::make_shared<lease::LeaseClient>(
    aContext,
    objectstore::ObjectKey{ "leases", "weights-" + aService.m_name.m_value },
    leasePolicy,
    aContext.Self().m_host,
    lease::LeaseCallbacks{
      [this](uint64_t aEpoch) { FeedAll(LeaseBegan{ aEpoch }); },
      [this](std::string_view) { FeedAll(LeaseEnded{}); } });
}

void
ServiceWeights::Start()
{
  m_lease->Start();
}

void
ServiceWeights::Resign()
{
  m_lease->Resign();
}

void
ServiceWeights::SetService(const configuration::Service& aService)
{
  m_service = aService;
  const auto* engines =
    std::get_if<configuration::ModelEngines>(&m_service.m_kind);
  if (engines == nullptr) {
    return;
  }
  std::vector<std::string> names = engines->m_alsoServes;
  names.push_back(engines->m_weights);
  m_policy.m_floorPercent = engines->m_floorPercent;
  // The sets of weights share what may be loaded at once.
  const auto sets = static_cast<uint32_t>(names.size());
  m_policy.m_concurrentLoads = (engines->m_concurrentLoads + sets - 1) / sets;
  for (const std::string& name : names) {
    m_waves[name].m_policy = m_policy;
  }
}

void
ServiceWeights::SetHosts(std::span<const objectstore::HostEntry> aHosts)
{
  m_engines.clear();
  for (const objectstore::HostEntry& host : aHosts) {
    if (host.m_service == m_service.m_name.m_value) {
      m_engines.emplace(core::UpstreamId{ host.m_name }, host);
    }
  }
  ShareEngines();
  ObserveVersions();
}

void
ServiceWeights::ShareEngines()
{
  std::map<core::UpstreamId, HeldVersions> held;
  for (const auto& [id, engine] : m_engines) {
    HeldVersions& versions = held[id];
    for (const objectstore::ServedWeights& weights : engine.m_weights) {
      versions[weights.m_name] = weights.m_version;
    }
  }
  HeldVersions targets;
  for (const auto& [name, wave] : m_waves) {
    targets[name] = wave.m_target;
  }
  m_assignment = AssignEngines(m_assignment, held, targets);
  std::map<std::string, EnginesListed, std::less<>> lists;
  for (const auto& [id, name] : m_assignment) {
    const objectstore::HostEntry& engine = m_engines.at(id);
    const bool checksFence =
      std::holds_alternative<objectstore::ChecksFence>(engine.m_fencing);
    lists[name].m_engines.push_back({ id, checksFence, engine.m_leaving });
  }
  for (const auto& [name, wave] : m_waves) {
    Feed(name, lists[name]);
  }
}

void
ServiceWeights::ObserveVersions()
{
  for (const auto& [id, engine] : m_engines) {
    for (const objectstore::ServedWeights& weights : engine.m_weights) {
      Feed(weights.m_name, VersionObserved{ id, weights.m_version });
    }
  }
}

void
ServiceWeights::FeedAll(const WaveEvent& aEvent)
{
  for (const auto& [name, wave] : m_waves) {
    Feed(name, aEvent);
  }
}

void
ServiceWeights::Feed(std::string_view aWeights, const WaveEvent& aEvent)
{
  const auto wave = m_waves.find(aWeights);
  if (wave == m_waves.end()) {
    return;
  }
  std::vector<WaveEffect> effects;
  Apply(wave->second, aEvent, kernel::Now(), effects);
  for (const WaveEffect& effect : effects) {
    std::visit([&](const auto& aTyped) { Run(wave->first, aTyped); }, effect);
  }
  std::optional<core::Instant> next;
  for (const auto& [name, state] : m_waves) {
    const std::optional<core::Instant> due = NextDeadline(state);
    if (due && (!next || *due < *next)) {
      next = due;
    }
  }
  if (next) {
    m_timer.Set(*next);
  }
}

void
ServiceWeights::Run(std::string_view aWeights, const OrderLoad& aEffect)
{
  // A holder that was paused finds out here that its time is over. Engines
  // that check fencing numbers refuse it by themselves.
  const WaveState& wave = m_waves.find(aWeights)->second;
  const bool checksFence =
    wave.m_engines.at(aEffect.m_engine).m_facts.m_checksFence;
  if (!checksFence && !lease::MayAct(m_lease->State(), kernel::Now())) {
    m_context.Metrics().Get("weights.order_after_lease").Add();
    return;
  }
  m_context.Metrics().Get("weights.orders").Add();
  asio::co_spawn(m_context.Traffic().Loop(kLoopIndex),
                 SendOrder(m_context,
                           shared_from_this(),
                           OrderTask{ aEffect,
                                      m_engines.at(aEffect.m_engine).m_endpoint,
                                      m_context.Self().m_host,
                                      std::string(aWeights) }),
                 asio::detached);
}

} // namespace heatherdeal::weights
