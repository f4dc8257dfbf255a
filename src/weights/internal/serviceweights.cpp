#include "weights/internal/serviceweights.h"

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/json/serialize.hpp"

#include "http/exchange.h"
#include "kernel/json.h"
#include "kernel/log.h"

namespace heatherdeal::weights {

namespace {

namespace asio = boost::asio;

constexpr size_t kLoopIndex = 0;
constexpr uint32_t kOk = 200;
constexpr uint32_t kConflict = 409;

core::Failure
RefusalOf(const http::Answer& aAnswer, const OrderLoad& aOrder)
{
  if (aAnswer.m_head.m_status == kConflict) {
    return core::FenceRejected{ aOrder.m_fence };
  }
  return core::PeerRefused{ aOrder.m_engine.m_value,
                            aAnswer.m_head.m_status,
                            core::Executed::Unknown };
}

asio::awaitable<void>
SendOrder(kernel::Context& aContext,
          std::shared_ptr<ServiceWeights> aOwner,
          core::Endpoint aPeer,
          OrderLoad aOrder)
{
  const boost::json::value body{ { "kind", "load" },
                                 { "version", aOrder.m_version.m_number },
                                 { "fence", aOrder.m_fence } };
  http::Request request;
  request.m_method = "POST";
  request.m_target = "/v1/orders";
  request.m_body = boost::json::serialize(body);
  http::Client& client = aContext.Get<http::Clients>()->For(kLoopIndex);
  const absl::StatusOr<http::Answer> answer = co_await client.Call(
    aPeer, std::move(request), http::Reuse::Never, aOrder.m_deadline);
  if (answer.ok() && answer->m_head.m_status == kOk) {
    co_return;
  }
  OrderFailed failed{ aOrder.m_engine, aOrder.m_version, {} };
  failed.m_failure =
    answer.ok() ? RefusalOf(*answer, aOrder) : http::FailureOf(answer.status());
  aContext.Control().Post([aOwner, failed] { aOwner->Feed(failed); });
}

} // namespace

ServiceWeights::ServiceWeights(kernel::Context& aContext,
                               const configuration::Service& aService,
                               const WeightsSettings& aSettings)
  : m_context(aContext)
  , m_timer(aContext.Control(), [this] { Feed(WaveTimer{}); })
{
  m_state.m_policy.m_orderTime = aSettings.m_orderTime;
  m_state.m_policy.m_waitOut = aSettings.m_orderTime;
  lease::LeasePolicy leasePolicy = aSettings.m_lease;
  leasePolicy.m_outage = lease::GoOnUntilTaken{};
  SetService(aService);
  m_lease = std::make_shared<lease::LeaseClient>(
    aContext,
    platform::ObjectKey{ "leases", "weights-" + aService.m_name.m_value },
    leasePolicy,
    aContext.Self().m_host,
    lease::LeaseCallbacks{
      [this](uint64_t aEpoch) { Feed(LeaseBegan{ aEpoch }); },
      [this](std::string_view) { Feed(LeaseEnded{}); } });
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

std::string_view
ServiceWeights::WeightsName() const
{
  const auto* engines =
    std::get_if<configuration::ModelEngines>(&m_service.m_kind);
  return engines == nullptr ? std::string_view()
                            : std::string_view(engines->m_weights);
}

void
ServiceWeights::SetService(const configuration::Service& aService)
{
  m_service = aService;
  if (const auto* engines =
        std::get_if<configuration::ModelEngines>(&m_service.m_kind)) {
    m_state.m_policy.m_floorPercent = engines->m_floorPercent;
    m_state.m_policy.m_concurrentLoads = engines->m_concurrentLoads;
  }
}

void
ServiceWeights::SetHosts(std::span<const platform::HostEntry> aHosts)
{
  EnginesListed listed;
  m_endpoints.clear();
  for (const platform::HostEntry& host : aHosts) {
    if (host.m_service != m_service.m_name.m_value) {
      continue;
    }
    const core::UpstreamId id{ host.m_name };
    const bool checksFence =
      std::holds_alternative<platform::ChecksFence>(host.m_fencing);
    m_endpoints[id] = host.m_endpoint;
    listed.m_engines.push_back({ id, checksFence, host.m_leaving });
  }
  Feed(listed);
}

void
ServiceWeights::Feed(const WaveEvent& aEvent)
{
  std::vector<WaveEffect> effects;
  Apply(m_state, aEvent, kernel::Now(), effects);
  for (const WaveEffect& effect : effects) {
    std::visit([this](const auto& aTyped) { Run(aTyped); }, effect);
  }
  const std::optional<core::Instant> next = NextDeadline(m_state);
  if (next) {
    m_timer.Set(*next);
  }
}

void
ServiceWeights::Run(const OrderLoad& aEffect)
{
  // A holder that was paused finds out here that its time is over. Engines
  // that check fencing numbers refuse it by themselves.
  const bool checksFence =
    m_state.m_engines.at(aEffect.m_engine).m_facts.m_checksFence;
  if (!checksFence && !lease::MayAct(m_lease->State(), kernel::Now())) {
    m_context.Metrics().Get("weights.order_after_lease").Add();
    return;
  }
  m_context.Metrics().Get("weights.orders").Add();
  asio::co_spawn(
    m_context.Traffic().Loop(kLoopIndex),
    SendOrder(
      m_context, shared_from_this(), m_endpoints[aEffect.m_engine], aEffect),
    asio::detached);
}

} // namespace heatherdeal::weights
