#include "batches/internal/poolviews.h"

#include <algorithm>

#include "kernel/controlthread.h"

namespace heatherdeal::batches {

namespace {

// Older measurements say nothing about an engine's current speed.
constexpr core::Duration kEventIntervalLifetime = std::chrono::seconds(2);

EngineSnapshot
MakeSnapshot(const routing::Upstream& aUpstream,
             std::string_view aWeights,
             core::Instant aNow)
{
  const routing::UpstreamStats& stats = *aUpstream.m_stats;
  EngineSnapshot engine;
  engine.m_id = aUpstream.m_id;
  engine.m_software = aUpstream.m_software;
  engine.m_slots = aUpstream.m_slots;
  engine.m_outstanding = stats.m_outstanding.load();
  const core::Instant ejectedUntil{ core::Duration(
    stats.m_ejectedUntil.load()) };
  const core::Instant avoidedUntil{ core::Duration(stats.m_avoidUntil.load()) };
  engine.m_isLeaving = aUpstream.m_leaving || stats.m_leaving.load();
  engine.m_usable = !engine.m_isLeaving && ejectedUntil <= aNow &&
                    avoidedUntil <= aNow &&
                    stats.m_pacing.NextPermitAt() <= aNow;
  engine.m_isRefusing = stats.m_consecutiveRefusals.load() > 0;
  engine.m_lastEventInterval = core::Duration(stats.m_meanEventGap.load());
  const core::Instant measuredAt{ core::Duration(
    stats.m_meanEventGapUpdatedAt.load()) };
  if (aNow - measuredAt < kEventIntervalLifetime) {
    engine.m_eventInterval = engine.m_lastEventInterval;
  }
  for (const objectstore::ServedWeights& weights : aUpstream.m_weights) {
    if (weights.m_name == aWeights) {
      engine.m_version = weights.m_version;
    }
  }
  return engine;
}

} // namespace

uint32_t
PoolViews::CountWaitingItems(const routing::Pool& aPool) const
{
  uint32_t count = 0;
  for (const PoolView& view : m_views) {
    const bool isSameService =
      view.m_pool->m_service.m_name == aPool.m_service.m_name;
    count += isSameService ? view.m_waitingItems : 0;
  }
  return count;
}

PoolView&
PoolViews::FindOrAdd(std::shared_ptr<const routing::Pool> aPool,
                     std::string_view aWeights)
{
  const auto found = std::ranges::find_if(m_views, [&](const PoolView& aView) {
    return aView.m_pool == aPool && aView.m_weights == aWeights;
  });
  if (found != m_views.end()) {
    return *found;
  }
  PoolView view;
  const core::Instant now = kernel::Now();
  for (const routing::Upstream& upstream : aPool->m_upstreams) {
    view.m_engines.push_back(MakeSnapshot(upstream, aWeights, now));
    view.m_hasLimits =
      view.m_hasLimits || upstream.m_stats->m_pacing.IsLimited();
  }
  view.m_pool = std::move(aPool);
  view.m_weights = aWeights;
  m_views.push_back(std::move(view));
  return m_views.back();
}

} // namespace heatherdeal::batches
