#include "limits/upstreamlimits.h"

#include <algorithm>

#include "xxhash.h"

#include "gossip/gossip.h"
#include "kernel/eventlog.h"
#include "limits/internal/limitcodec.h"

namespace heatherdeal::limits {

namespace {

constexpr std::string_view kTopicName = "limits";
constexpr core::Duration kUpdateInterval = std::chrono::milliseconds(200);
// While no limit is in force only the demand is measured.
constexpr core::Duration kIdleUpdateInterval = std::chrono::seconds(1);
// Over which time the demand is averaged.
constexpr double kDemandWindowSeconds = 2.0;

uint64_t
HashName(std::string_view aName)
{
  return XXH64(aName.data(), aName.size(), 0);
}

double
ToSeconds(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

UpstreamLimits::UpstreamLimits(kernel::Context& aContext)
  : m_context(aContext)
  , m_router(aContext.Get<routing::Router>())
  , m_hostHash(HashName(aContext.Self().m_host))
  , m_updateTimer(aContext.Control(), [this] { Update(); })
{
}

void
UpstreamLimits::Start()
{
  const auto self = shared_from_this();
  m_context.Get<gossip::Gossip>()->AddTopic(
    { std::string(kTopicName),
      [self](size_t aMaxBytes) { return self->ComposeMessage(aMaxBytes); },
      [self](std::string_view aEncoded) { self->ReceiveMessage(aEncoded); } });
  m_measuredAt = kernel::Now();
  m_updateTimer.Set(m_measuredAt + kIdleUpdateInterval);
}

void
UpstreamLimits::ReportAnswer(const routing::Upstream& aUpstream,
                             const LimitStatement& aStatement)
{
  if (std::holds_alternative<UnreadableLimit>(aStatement)) {
    m_context.Metrics().Get("limits.unreadable").Add();
    return;
  }
  const auto* named = std::get_if<LimitNamed>(&aStatement);
  // Nearly all answers end here.
  if (named == nullptr && !aUpstream.m_stats->m_pacing.IsLimited()) {
    return;
  }
  std::optional<double> rate;
  if (named != nullptr) {
    rate = named->m_requestsPerSecond;
  }
  m_context.Control().Post([self = shared_from_this(),
                            run = routing::RunOf(aUpstream),
                            name = aUpstream.m_id.m_value,
                            rate] { self->HandleAnswer(run, name, rate); });
}

void
UpstreamLimits::HandleAnswer(core::UpstreamRun aUpstream,
                             const std::string& aUpstreamName,
                             const std::optional<double>& aRequestsPerSecond)
{
  if (!RecordAnswer(m_state, aUpstream, aRequestsPerSecond, kernel::Now())) {
    return;
  }
  m_context.Metrics().Get("limits.changes").Add();
  kernel::LogEvent(kernel::LogLevel::Info,
                   "limits",
                   "limit-changed",
                   { { "upstream", aUpstreamName },
                     { "limited", aRequestsPerSecond.has_value() },
                     { "per_second", aRequestsPerSecond.value_or(0.0) } });
  Update();
  if (const auto gossip = m_context.Get<gossip::Gossip>()) {
    gossip->SpreadNews();
  }
}

DemandKey
UpstreamLimits::KeyOf(std::string_view aService) const
{
  return { m_hostHash, HashName(aService) };
}

void
UpstreamLimits::MeasureDemand(const routing::Pool& aPool,
                              core::Duration aElapsed)
{
  const std::string& service = aPool.m_service.m_name.m_value;
  MeasuredDemand& demand = m_demandByService[service];
  const uint64_t calls = aPool.m_demand->m_calls.load();
  const double elapsed = std::max(ToSeconds(aElapsed), 1e-3);
  const double recent =
    static_cast<double>(calls - demand.m_countedCalls) / elapsed;
  const double weight = std::min(1.0, elapsed / kDemandWindowSeconds);
  demand.m_requestsPerSecond += (recent - demand.m_requestsPerSecond) * weight;
  demand.m_countedCalls = calls;
  const double waiting =
    static_cast<double>(aPool.m_demand->m_waitingItems.load()) /
    kDemandWindowSeconds;
  RecordDemand(m_state,
               KeyOf(service),
               demand.m_requestsPerSecond + waiting,
               m_measuredAt);
}

void
UpstreamLimits::Update()
{
  const core::Instant now = kernel::Now();
  const core::Duration elapsed = now - m_measuredAt;
  m_measuredAt = now;
  for (const auto& [service, pool] : m_router->ReadPools()->m_byService) {
    MeasureDemand(*pool, elapsed);
  }
  SetRates();
  m_updateTimer.Set(
    now + (HasLimits(m_state) ? kUpdateInterval : kIdleUpdateInterval));
}

void
UpstreamLimits::SetRates()
{
  const core::Instant now = kernel::Now();
  int64_t limitedUpstreams = 0;
  for (const auto& [service, pool] : m_router->ReadPools()->m_byService) {
    const double share = ComputeDemandShare(m_state, KeyOf(service), now);
    for (const routing::Upstream& upstream : pool->m_upstreams) {
      const auto rate = ComputeRate(m_state, routing::RunOf(upstream), share);
      upstream.m_stats->m_pacing.SetRate(rate, now);
      limitedUpstreams += rate ? 1 : 0;
    }
  }
  m_context.Metrics().GaugeOf("limits.limited_upstreams").Set(limitedUpstreams);
}

std::string
UpstreamLimits::ComposeMessage(size_t aMaxBytes)
{
  std::vector<DemandKey> self;
  for (const auto& [service, demand] : m_demandByService) {
    self.push_back(KeyOf(service));
  }
  const core::Instant now = kernel::Now();
  return EncodeMessage(MakeMessage(m_state, self, now), aMaxBytes, now);
}

void
UpstreamLimits::ReceiveMessage(std::string_view aEncoded)
{
  const absl::StatusOr<LimitMessage> message =
    DecodeMessage(aEncoded, kernel::Now());
  if (!message.ok()) {
    m_context.Metrics().Get("limits.invalid_messages").Add();
    return;
  }
  if (MergeMessage(m_state, *message)) {
    Update();
    // A new limit is urgent enough to be passed on before the next round.
    m_context.Get<gossip::Gossip>()->SpreadNews();
  }
}

boost::json::value
UpstreamLimits::Dump() const
{
  boost::json::object upstreams;
  for (const auto& [service, pool] : m_router->ReadPools()->m_byService) {
    for (const routing::Upstream& upstream : pool->m_upstreams) {
      const auto limit = m_state.m_limits.find(routing::RunOf(upstream));
      if (limit != m_state.m_limits.end() &&
          limit->second.m_requestsPerSecond) {
        upstreams[upstream.m_id.m_value] = *limit->second.m_requestsPerSecond;
      }
    }
  }
  return upstreams;
}

} // namespace heatherdeal::limits
