#include "routing/pool.h"

#include <cmath>

#include "xxhash.h"

#include "kernel/controlthread.h"
#include "kernel/eventlog.h"

namespace heatherdeal::routing {

namespace {

core::Instant
ToInstant(int64_t aMicroseconds)
{
  return core::Instant(core::Duration(aMicroseconds));
}

WorkTimeState
ReadWorkTime(const UpstreamStats& aStats)
{
  const std::scoped_lock lock(aStats.m_workTimeMutex);
  return aStats.m_workTime;
}

UpstreamFacts
ReadFacts(const Upstream& aUpstream)
{
  const UpstreamStats& stats = *aUpstream.m_stats;
  UpstreamFacts facts;
  facts.m_failureDomain = aUpstream.m_failureDomain;
  facts.m_slots = aUpstream.m_slots;
  facts.m_leaving = aUpstream.m_leaving || stats.m_leaving.load();
  facts.m_ejectedUntil = ToInstant(stats.m_ejectedUntil.load());
  facts.m_nextPermitAt = stats.m_pacing.NextPermitAt();
  facts.m_outstanding = stats.m_outstanding.load();
  facts.m_reportedLoad = stats.m_reportedLoad.load();
  facts.m_reportedAt = ToInstant(stats.m_reportedAt.load());
  return facts;
}

/// Also reads what only the choice by expected work looks at, under a lock.
UpstreamFacts
ReadFactsWithWork(const Upstream& aUpstream)
{
  const UpstreamStats& stats = *aUpstream.m_stats;
  UpstreamFacts facts = ReadFacts(aUpstream);
  facts.m_outstandingWork = static_cast<double>(stats.m_outstandingWork.load());
  facts.m_reportedSlots = stats.m_reportedSlots.load();
  facts.m_workTime = ReadWorkTime(stats);
  return facts;
}

/// Returns the upstreams of the pool, with the facts that its routing policy
/// looks at.
UpstreamSource
SourceOf(const Pool& aPool)
{
  const auto factsAt = [](const void* aContext, size_t aIndex) {
    return ReadFacts(static_cast<const Upstream*>(aContext)[aIndex]);
  };
  const auto factsWithWorkAt = [](const void* aContext, size_t aIndex) {
    return ReadFactsWithWork(static_cast<const Upstream*>(aContext)[aIndex]);
  };
  UpstreamSource source{ aPool.m_upstreams.size(),
                         aPool.m_upstreams.data(),
                         factsAt };
  if (aPool.m_work) {
    source.m_factsAt = factsWithWorkAt;
  }
  return source;
}

bool
IsByExpectedWork(const configuration::Service& aService)
{
  return std::holds_alternative<configuration::LeastExpectedWork>(
    aService.m_routing);
}

ExpectedWork
EstimateWork(const Pool& aPool, WorkKey aKey)
{
  return aPool.m_work ? aPool.m_work->Estimate(aKey) : ExpectedWork{};
}

PoolHealth
ComputePoolHealth(const Pool& aPool, core::Instant aNow)
{
  PoolHealth health;
  health.m_upstreamCount = aPool.m_upstreams.size();
  for (const Upstream& upstream : aPool.m_upstreams) {
    if (ToInstant(upstream.m_stats->m_ejectedUntil.load()) > aNow) {
      health.m_ejectedCount += 1;
    }
  }
  return health;
}

} // namespace

void
UpstreamPacing::SetRate(const std::optional<double>& aRequestsPerSecond,
                        core::Instant aNow)
{
  if (!aRequestsPerSecond && !IsLimited()) {
    return;
  }
  const std::scoped_lock lock(m_mutex);
  if (!IsLimited()) {
    m_permits = { .m_updatedAt = aNow };
  }
  routing::SetRate(m_permits, aRequestsPerSecond.value_or(0.0), aNow);
  m_isLimited.store(aRequestsPerSecond.has_value());
}

core::Instant
UpstreamPacing::NextPermitAt() const
{
  if (!IsLimited()) {
    return {};
  }
  const std::scoped_lock lock(m_mutex);
  return routing::FindNextPermit(m_permits);
}

void
UpstreamPacing::TakePermit(core::Instant aNow)
{
  if (!IsLimited()) {
    return;
  }
  const std::scoped_lock lock(m_mutex);
  routing::TakePermit(m_permits, aNow);
}

double
UpstreamPacing::Rate() const
{
  if (!IsLimited()) {
    return 0.0;
  }
  const std::scoped_lock lock(m_mutex);
  return m_permits.m_permitsPerSecond;
}

std::optional<PermitForecast>
ForecastPermits(const Pool& aPool, core::Instant aNow)
{
  PermitForecast forecast{ core::Instant::max(), 0.0 };
  bool hasLimited = false;
  for (const Upstream& upstream : aPool.m_upstreams) {
    UpstreamFacts facts = ReadFacts(upstream);
    const core::Instant permitAt = facts.m_nextPermitAt;
    facts.m_nextPermitAt = {};
    if (!IsUsable(facts, aNow)) {
      continue;
    }
    if (permitAt <= aNow) {
      return std::nullopt;
    }
    hasLimited = true;
    forecast.m_nextPermitAt = std::min(forecast.m_nextPermitAt, permitAt);
    forecast.m_permitsPerSecond += upstream.m_stats->m_pacing.Rate();
  }
  return hasLimited ? std::optional(forecast) : std::nullopt;
}

core::UpstreamRun
RunOf(const Upstream& aUpstream)
{
  const std::string& id = aUpstream.m_id.m_value;
  return { XXH64(id.data(), id.size(), aUpstream.m_stats->m_incarnation) };
}

bool
HasStayingUpstream(const Pool& aPool)
{
  return std::ranges::any_of(aPool.m_upstreams, [](const Upstream& aUpstream) {
    return !aUpstream.m_leaving && !aUpstream.m_stats->m_leaving.load();
  });
}

std::shared_ptr<const Pool>
SelectSoftware(const Pool& aPool, const core::Software& aSoftware)
{
  auto selected = std::make_shared<Pool>(aPool);
  std::erase_if(selected->m_upstreams, [&](const Upstream& aUpstream) {
    return aUpstream.m_software != aSoftware || ReadFacts(aUpstream).m_leaving;
  });
  return selected;
}

void
AddOtherSoftware(const Pool& aPool,
                 const core::Software& aSoftware,
                 std::vector<size_t>& aIndices)
{
  for (size_t i = 0; i < aPool.m_upstreams.size(); ++i) {
    if (aPool.m_upstreams[i].m_software != aSoftware) {
      aIndices.push_back(i);
    }
  }
}

UpstreamReservation::UpstreamReservation(std::shared_ptr<const Pool> aPool,
                                         size_t aIndex)
  : UpstreamReservation(aPool,
                        aIndex,
                        KeyOf({}),
                        EstimateWork(*aPool, KeyOf({})))
{
}

UpstreamReservation::UpstreamReservation(std::shared_ptr<const Pool> aPool,
                                         size_t aIndex,
                                         WorkKey aKey,
                                         const ExpectedWork& aWork)
  : m_pool(std::move(aPool))
  , m_index(aIndex)
  , m_key(aKey)
  , m_expectedWork(std::llround(aWork.m_request))
{
  UpstreamStats& stats = *Chosen().m_stats;
  const core::Instant now = kernel::Now();
  if (m_pool->m_work) {
    m_hadWaiting = stats.m_reportedWaiting.load() > 0;
    m_workTimeAtSend = ExpectReportedWorkTime(ReadWorkTime(stats), now);
  }
  stats.m_outstanding.fetch_add(1);
  stats.m_outstandingWork.fetch_add(m_expectedWork);
  stats.m_pacing.TakePermit(now);
}

UpstreamReservation::~UpstreamReservation()
{
  Chosen().m_stats->m_outstanding.fetch_sub(1);
  Chosen().m_stats->m_outstandingWork.fetch_sub(m_expectedWork);
}

void
UpstreamReservation::ReportLoad(const UpstreamLoad& aLoad, core::Instant aNow)
{
  UpstreamStats& stats = *Chosen().m_stats;
  stats.m_reportedLoad.store(aLoad.m_running + aLoad.m_waiting);
  stats.m_reportedWaiting.store(aLoad.m_waiting);
  stats.m_reportedSlots.store(aLoad.m_slots);
  stats.m_reportedAt.store(aNow.time_since_epoch().count());
  if (aLoad.m_workTime > 0.0) {
    const std::scoped_lock lock(stats.m_workTimeMutex);
    RecordReport(stats.m_workTime, aLoad.m_workTime, aNow);
  }
}

void
UpstreamReservation::ReportCompletion(core::Instant aSentAt, core::Instant aNow)
{
  if (!m_pool->m_work) {
    return;
  }
  UpstreamStats& stats = *Chosen().m_stats;
  // A slow phase may begin or end while the request runs.
  const double workTime =
    (m_workTimeAtSend + ExpectReportedWorkTime(ReadWorkTime(stats), aNow)) /
    2.0;
  const bool hasWaited = m_hadWaiting || stats.m_reportedWaiting.load() > 0;
  const WorkSample sample{ m_key, aNow - aSentAt, workTime, hasWaited };
  if (const auto ratio = m_pool->m_work->AddSample(sample, aNow)) {
    const std::scoped_lock lock(stats.m_workTimeMutex);
    RecordRatio(stats.m_workTime, *ratio);
  }
}

void
UpstreamReservation::ReportAnswer(core::Instant aNow)
{
  Chosen().m_stats->m_answeredAt.store(aNow.time_since_epoch().count());
}

void
ReportLeaving(const Upstream& aUpstream)
{
  if (!aUpstream.m_stats->m_leaving.exchange(true)) {
    kernel::LogEvent(kernel::LogLevel::Info,
                     "routing",
                     "upstream-leaving",
                     { { "upstream", aUpstream.m_id.m_value } });
  }
}

void
UpstreamReservation::ReportSuccess()
{
  UpstreamStats& stats = *Chosen().m_stats;
  const std::scoped_lock lock(stats.m_ejectionMutex);
  RecordSuccess(stats.m_ejection);
}

void
UpstreamReservation::ReportFailure(core::Instant aNow)
{
  const PoolHealth health = ComputePoolHealth(*m_pool, aNow);
  UpstreamStats& stats = *Chosen().m_stats;
  const std::scoped_lock lock(stats.m_ejectionMutex);
  RecordFailure(stats.m_ejection, EjectionPolicy{}, health, aNow);
  stats.m_ejectedUntil.store(
    stats.m_ejection.m_ejectionEnd.time_since_epoch().count());
}

void
UpstreamReservation::ReportEventGap(core::Duration aGap, core::Instant aNow)
{
  // Longer gaps, such as the pause while new weights are loaded, are capped so
  // that they do not dominate the average.
  constexpr core::Duration kMaxGap = std::chrono::milliseconds(250);
  constexpr int64_t kSmoothingDivisor = 10;
  UpstreamStats& stats = *Chosen().m_stats;
  const int64_t gap = std::min(aGap, kMaxGap).count();
  const int64_t previous = stats.m_meanEventGap.load();
  const int64_t average =
    previous == 0 ? gap : previous + (gap - previous) / kSmoothingDivisor;
  stats.m_meanEventGap.store(std::max<int64_t>(1, average));
  stats.m_meanEventGapUpdatedAt.store(aNow.time_since_epoch().count());
}

void
UpstreamReservation::ReportRefusal(core::Instant aUntil)
{
  UpstreamStats& stats = *Chosen().m_stats;
  stats.m_consecutiveRefusals.fetch_add(1);
  stats.m_avoidUntil.store(aUntil.time_since_epoch().count());
}

void
UpstreamReservation::ReportAcceptance()
{
  UpstreamStats& stats = *Chosen().m_stats;
  stats.m_consecutiveRefusals.store(0);
  stats.m_avoidUntil.store(0);
}

configuration::RoutingPolicy
EffectivePolicy(const configuration::Service& aService,
                const RouterSettings& aSettings)
{
  const auto* choices =
    std::get_if<configuration::TwoChoices>(&aService.m_routing);
  const bool isPlain =
    std::holds_alternative<configuration::PlainServers>(aService.m_kind);
  if (aSettings.m_prefersExpectedWork && choices != nullptr && isPlain) {
    return configuration::LeastExpectedWork{
      choices->m_domainPreferencePercent
    };
  }
  return aService.m_routing;
}

Router::Router(std::string_view aOwnFailureDomain)
  : Router(aOwnFailureDomain, m_ownCounters, {})
{
}

Router::Router(std::string_view aOwnFailureDomain,
               kernel::Counters& aCounters,
               const RouterSettings& aSettings)
  : m_ownFailureDomain{ std::string(aOwnFailureDomain) }
  , m_counters(aCounters)
  , m_settings(aSettings)
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
  std::map<core::UpstreamId, std::shared_ptr<UpstreamStats>> statsByUpstream;
  for (const configuration::Service& service : m_document.m_services) {
    auto pool = std::make_shared<Pool>();
    pool->m_service = service;
    pool->m_service.m_routing = EffectivePolicy(service, m_settings);
    if (const auto previous = FindPool(service.m_name.m_value)) {
      pool->m_demand = previous->m_demand;
      pool->m_work = previous->m_work;
    }
    if (!IsByExpectedWork(pool->m_service)) {
      pool->m_work = nullptr;
    } else if (!pool->m_work) {
      pool->m_work =
        std::make_shared<ServiceWork>(m_counters, service.m_name.m_value);
    }
    for (const objectstore::HostEntry& host : m_hosts) {
      if (host.m_service != service.m_name.m_value) {
        continue;
      }
      const core::UpstreamId id{ host.m_name };
      std::shared_ptr<UpstreamStats>& stats = statsByUpstream[id];
      const auto existing = m_statsByUpstream.find(id);
      const bool isSameRun =
        existing != m_statsByUpstream.end() &&
        existing->second->m_incarnation == host.m_incarnation;
      stats = isSameRun ? existing->second : std::make_shared<UpstreamStats>();
      stats->m_incarnation = host.m_incarnation;
      pool->m_upstreams.push_back(
        { id,
          host.m_endpoint,
          host.m_failureDomain,
          host.m_slots,
          host.m_leaving,
          stats,
          host.m_weights,
          { service.m_name, host.m_softwareVersion } });
    }
    pools.m_byService.emplace(service.m_name.m_value, std::move(pool));
  }
  m_statsByUpstream = std::move(statsByUpstream);
  m_pools.Publish(std::move(pools));
}

std::shared_ptr<const Pool>
Router::FindPool(std::string_view aService) const
{
  const auto pools = m_pools.Read();
  const auto found = pools->m_byService.find(aService);
  return found == pools->m_byService.end() ? nullptr : found->second;
}

std::optional<Upstream>
Router::FindUpstream(const core::UpstreamId& aId) const
{
  const auto pools = m_pools.Read();
  for (const auto& [name, pool] : pools->m_byService) {
    const auto found =
      std::ranges::find(pool->m_upstreams, aId, &Upstream::m_id);
    if (found != pool->m_upstreams.end()) {
      return *found;
    }
  }
  return std::nullopt;
}

std::unique_ptr<UpstreamReservation>
Router::ReserveUpstream(const std::shared_ptr<const Pool>& aPool,
                        const WorkClass& aClass,
                        TriedUpstreams aTried,
                        core::Instant aNow)
{
  const UpstreamSource source = SourceOf(*aPool);
  const WorkKey key = KeyOf(aClass);
  const ChoiceRequest request{ m_ownFailureDomain,
                               aTried,
                               m_nextSequence.fetch_add(1),
                               aNow,
                               EstimateWork(*aPool, key) };
  const std::optional<size_t> index =
    ChooseUpstream(source, aPool->m_service.m_routing, request);
  if (!index) {
    return nullptr;
  }
  return std::make_unique<UpstreamReservation>(
    aPool, *index, key, request.m_work);
}

} // namespace heatherdeal::routing
