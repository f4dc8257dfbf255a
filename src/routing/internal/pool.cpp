#include "routing/pool.h"

namespace heatherdeal::routing {

namespace {

core::Instant
ToInstant(int64_t aMicroseconds)
{
  return core::Instant(core::Duration(aMicroseconds));
}

UpstreamFacts
FactsOf(const Upstream& aUpstream)
{
  const UpstreamMeter& meter = *aUpstream.m_meter;
  UpstreamFacts facts;
  facts.m_failureDomain = aUpstream.m_failureDomain;
  facts.m_slots = aUpstream.m_slots;
  facts.m_leaving = aUpstream.m_leaving || meter.m_leaving.load();
  facts.m_ejectedUntil = ToInstant(meter.m_ejectedUntil.load());
  facts.m_outstanding = meter.m_outstanding.load();
  facts.m_reported = meter.m_reported.load();
  facts.m_reportedAt = ToInstant(meter.m_reportedAt.load());
  return facts;
}

PoolHealth
HealthOf(const Pool& aPool, core::Instant aNow)
{
  PoolHealth health;
  health.m_upstreams = aPool.m_upstreams.size();
  for (const Upstream& upstream : aPool.m_upstreams) {
    if (ToInstant(upstream.m_meter->m_ejectedUntil.load()) > aNow) {
      health.m_ejected += 1;
    }
  }
  return health;
}

} // namespace

Ticket::Ticket(std::shared_ptr<const Pool> aPool, size_t aIndex)
  : m_pool(std::move(aPool))
  , m_index(aIndex)
{
  Chosen().m_meter->m_outstanding.fetch_add(1);
}

Ticket::~Ticket()
{
  Chosen().m_meter->m_outstanding.fetch_sub(1);
}

void
Ticket::Succeeded()
{
  UpstreamMeter& meter = *Chosen().m_meter;
  const std::scoped_lock lock(meter.m_ejectionMutex);
  RecordSuccess(meter.m_ejection);
}

void
Ticket::Failed(core::Instant aNow)
{
  const PoolHealth health = HealthOf(*m_pool, aNow);
  UpstreamMeter& meter = *Chosen().m_meter;
  const std::scoped_lock lock(meter.m_ejectionMutex);
  RecordFailure(meter.m_ejection, EjectionPolicy{}, health, aNow);
  meter.m_ejectedUntil.store(
    meter.m_ejection.m_ejectionEnd.time_since_epoch().count());
}

void
Ticket::Paced(core::Duration aGap, core::Instant aNow)
{
  // Longer gaps, such as the pause while new weights are loaded, are capped so
  // that they do not dominate the average.
  constexpr core::Duration kMaxGap = std::chrono::milliseconds(250);
  constexpr int64_t kSmoothingDivisor = 10;
  UpstreamMeter& meter = *Chosen().m_meter;
  const int64_t gap = std::min(aGap, kMaxGap).count();
  const int64_t previous = meter.m_pace.load();
  const int64_t average =
    previous == 0 ? gap : previous + (gap - previous) / kSmoothingDivisor;
  meter.m_pace.store(std::max<int64_t>(1, average));
  meter.m_paceAt.store(aNow.time_since_epoch().count());
}

void
Ticket::Refused(core::Instant aUntil)
{
  UpstreamMeter& meter = *Chosen().m_meter;
  meter.m_refusals.fetch_add(1);
  meter.m_refusesUntil.store(aUntil.time_since_epoch().count());
}

void
Ticket::Accepted()
{
  UpstreamMeter& meter = *Chosen().m_meter;
  meter.m_refusals.store(0);
  meter.m_refusesUntil.store(0);
}

Router::Router(std::string_view aOwnFailureDomain)
  : m_ownFailureDomain{ std::string(aOwnFailureDomain) }
{
}

void
Router::SetHosts(std::span<const objectstore::HostEntry> aHosts)
{
  m_hosts.assign(aHosts.begin(), aHosts.end());
  RebuildPools();
}

void
Router::SetDocument(const configuration::Document& aDocument)
{
  m_document = aDocument;
  RebuildPools();
}

void
Router::RebuildPools()
{
  Pools pools;
  std::map<core::UpstreamId, std::shared_ptr<UpstreamMeter>> meters;
  for (const configuration::Service& service : m_document.m_services) {
    auto pool = std::make_shared<Pool>();
    pool->m_service = service;
    for (const objectstore::HostEntry& host : m_hosts) {
      if (host.m_service != service.m_name.m_value) {
        continue;
      }
      const core::UpstreamId id{ host.m_name };
      std::shared_ptr<UpstreamMeter>& meter = meters[id];
      const auto existing = m_meters.find(id);
      const bool isSameRun =
        existing != m_meters.end() &&
        existing->second->m_incarnation == host.m_incarnation;
      meter = isSameRun ? existing->second : std::make_shared<UpstreamMeter>();
      meter->m_incarnation = host.m_incarnation;
      pool->m_upstreams.push_back({ id,
                                    host.m_endpoint,
                                    host.m_failureDomain,
                                    host.m_slots,
                                    host.m_leaving,
                                    meter,
                                    host.m_weights });
    }
    pools.m_byService.emplace(service.m_name.m_value, std::move(pool));
  }
  m_meters = std::move(meters);
  m_pools.Publish(std::move(pools));
}

std::shared_ptr<const Pool>
Router::Find(std::string_view aService) const
{
  const auto pools = m_pools.Read();
  const auto found = pools->m_byService.find(aService);
  return found == pools->m_byService.end() ? nullptr : found->second;
}

std::unique_ptr<Ticket>
Router::Choose(const std::shared_ptr<const Pool>& aPool,
               TriedUpstreams aTried,
               core::Instant aNow)
{
  const UpstreamSource source{ aPool->m_upstreams.size(),
                               aPool->m_upstreams.data(),
                               [](const void* aContext, size_t aIndex) {
                                 return FactsOf(static_cast<const Upstream*>(
                                   aContext)[aIndex]);
                               } };
  const ChoiceRequest request{
    m_ownFailureDomain, aTried, m_nextSequence.fetch_add(1), aNow
  };
  const std::optional<size_t> index =
    ChooseUpstream(source, aPool->m_service.m_routing, request);
  if (!index) {
    return nullptr;
  }
  return std::make_unique<Ticket>(aPool, *index);
}

} // namespace heatherdeal::routing
