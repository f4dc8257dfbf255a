#include "limits/limits.h"

#include <algorithm>

namespace heatherdeal::limits {

namespace {

// Reports travel for some time, so that what they say seems to be a little
// younger on each further host. Only what is clearly newer replaces what is
// known.
constexpr core::Duration kMaxTravelTime = std::chrono::milliseconds(100);

bool
IsInForce(const UpstreamLimit& aLimit)
{
  return aLimit.m_requestsPerSecond.has_value();
}

/// Returns true if the limit has changed.
bool
MergeLimit(LimitState& aState,
           core::UpstreamRun aUpstream,
           const UpstreamLimit& aLimit)
{
  const auto [known, isNew] = aState.m_limits.try_emplace(aUpstream, aLimit);
  if (isNew) {
    return IsInForce(aLimit);
  }
  UpstreamLimit& knownLimit = known->second;
  if (aLimit.m_answeredAt <= knownLimit.m_answeredAt + kMaxTravelTime) {
    return false;
  }
  const bool hasChanged =
    aLimit.m_requestsPerSecond != knownLimit.m_requestsPerSecond;
  knownLimit = aLimit;
  return hasChanged;
}

void
MergeDemand(LimitState& aState, DemandKey aKey, const HostDemand& aDemand)
{
  const auto [known, isNew] = aState.m_demands.try_emplace(aKey, aDemand);
  if (!isNew &&
      aDemand.m_measuredAt > known->second.m_measuredAt + kMaxTravelTime) {
    known->second = aDemand;
  }
}

void
RemoveExpired(LimitState& aState, core::Instant aNow)
{
  const LimitPolicy& policy = aState.m_policy;
  std::erase_if(aState.m_limits, [&](const auto& aEntry) {
    const core::Duration lifetime = IsInForce(aEntry.second)
                                      ? policy.m_limitLifetime
                                      : policy.m_liftedLifetime;
    return aEntry.second.m_answeredAt + lifetime <= aNow;
  });
  std::erase_if(aState.m_demands, [&](const auto& aEntry) {
    return aEntry.second.m_measuredAt + policy.m_demandLifetime <= aNow;
  });
}

/// Calls aVisit with up to aMaxCount entries from aNext on, wrapping around,
/// and sets aNext to the one after them.
template<typename Map, typename Visit>
void
VisitInTurns(const Map& aMap,
             typename Map::key_type& aNext,
             size_t aMaxCount,
             Visit&& aVisit)
{
  auto position = aMap.lower_bound(aNext);
  const size_t count = std::min(aMaxCount, aMap.size());
  for (size_t i = 0; i < count; ++i) {
    position = position == aMap.end() ? aMap.begin() : position;
    aVisit(*position);
    ++position;
  }
  aNext = position == aMap.end() ? typename Map::key_type{} : position->first;
}

} // namespace

bool
HasLimits(const LimitState& aState)
{
  return std::ranges::any_of(aState.m_limits, [](const auto& aEntry) {
    return IsInForce(aEntry.second);
  });
}

bool
RecordAnswer(LimitState& aState,
             core::UpstreamRun aUpstream,
             const std::optional<double>& aRequestsPerSecond,
             core::Instant aNow)
{
  const auto known = aState.m_limits.find(aUpstream);
  const bool wasInForce =
    known != aState.m_limits.end() && IsInForce(known->second);
  if (!wasInForce && !aRequestsPerSecond) {
    return false;
  }
  const bool hasChanged =
    !wasInForce || known->second.m_requestsPerSecond != aRequestsPerSecond;
  aState.m_limits[aUpstream] = { aRequestsPerSecond, aNow };
  return hasChanged;
}

void
RecordDemand(LimitState& aState,
             DemandKey aKey,
             double aRequestsPerSecond,
             core::Instant aNow)
{
  aState.m_demands[aKey] = { aRequestsPerSecond, aNow };
}

bool
MergeMessage(LimitState& aState, const LimitMessage& aMessage)
{
  bool hasChanged = false;
  for (const LimitReport& report : aMessage.m_limits) {
    hasChanged =
      MergeLimit(aState, report.m_upstream, report.m_limit) || hasChanged;
  }
  for (const DemandReport& report : aMessage.m_demands) {
    MergeDemand(aState, report.m_key, report.m_demand);
  }
  return hasChanged;
}

double
ComputeDemandShare(const LimitState& aState,
                   DemandKey aSelf,
                   core::Instant aNow)
{
  double ownDemand = 0.0;
  double totalDemand = 0.0;
  for (const auto& [key, demand] : aState.m_demands) {
    const bool counts =
      key.m_service == aSelf.m_service &&
      demand.m_measuredAt + aState.m_policy.m_demandLifetime > aNow;
    totalDemand += counts ? demand.m_requestsPerSecond : 0.0;
    ownDemand += counts && key == aSelf ? demand.m_requestsPerSecond : 0.0;
  }
  return ownDemand > 0.0 ? ownDemand / totalDemand : 0.0;
}

std::optional<double>
ComputeRate(const LimitState& aState,
            core::UpstreamRun aUpstream,
            double aDemandShare)
{
  const auto limit = aState.m_limits.find(aUpstream);
  if (limit == aState.m_limits.end() || !IsInForce(limit->second)) {
    return std::nullopt;
  }
  const double rateOfAll =
    std::max(aState.m_policy.m_minRate, *limit->second.m_requestsPerSecond);
  return rateOfAll * aDemandShare;
}

LimitMessage
MakeMessage(LimitState& aState,
            std::span<const DemandKey> aSelf,
            core::Instant aNow)
{
  RemoveExpired(aState, aNow);
  LimitMessage message;
  VisitInTurns(aState.m_limits,
               aState.m_nextLimit,
               kMaxLimitsPerMessage,
               [&](const auto& aEntry) {
                 message.m_limits.push_back({ aEntry.first, aEntry.second });
               });
  if (message.m_limits.empty()) {
    return message;
  }
  for (const DemandKey& key : aSelf) {
    const auto own = aState.m_demands.find(key);
    if (own != aState.m_demands.end() &&
        message.m_demands.size() < kMaxDemandsPerMessage) {
      message.m_demands.push_back({ own->first, own->second });
    }
  }
  VisitInTurns(aState.m_demands,
               aState.m_nextDemand,
               kMaxDemandsPerMessage - message.m_demands.size(),
               [&](const auto& aEntry) {
                 if (std::ranges::find(aSelf, aEntry.first) == aSelf.end()) {
                   message.m_demands.push_back({ aEntry.first, aEntry.second });
                 }
               });
  return message;
}

} // namespace heatherdeal::limits
