#include "routing/choice.h"

#include <algorithm>

#include "core/overloaded.h"

namespace heatherdeal::routing {

namespace {

constexpr core::Duration kLoadReportLifetime = std::chrono::milliseconds(300);
constexpr double kPercent = 100.0;
// Number of random draws after which the upstreams are scanned in order
// instead.
constexpr size_t kMaxRandomDraws = 8;

using Upstreams = const UpstreamSource&;

bool
IsCandidate(Upstreams aUpstreams, const ChoiceRequest& aRequest, size_t aIndex)
{
  return IsUsable(aUpstreams[aIndex], aRequest.m_now) &&
         std::ranges::find(aRequest.m_tried, aIndex) == aRequest.m_tried.end();
}

/// Returns the first candidate at or after aStart, wrapping around at the end.
std::optional<size_t>
FindNextCandidate(Upstreams aUpstreams,
                  const ChoiceRequest& aRequest,
                  size_t aStart)
{
  for (size_t i = 0; i < aUpstreams.Size(); ++i) {
    const size_t index = (aStart + i) % aUpstreams.Size();
    if (IsCandidate(aUpstreams, aRequest, index)) {
      return index;
    }
  }
  return std::nullopt;
}

/// Returns the SplitMix64 hash of aValue. Applied repeatedly, it yields a
/// sequence of pseudo-random numbers.
uint64_t
NextRandom(uint64_t aValue)
{
  aValue += 0x9e3779b97f4a7c15ULL;
  aValue = (aValue ^ (aValue >> 30)) * 0xbf58476d1ce4e5b9ULL;
  aValue = (aValue ^ (aValue >> 27)) * 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31);
}

/// Returns the load as a fraction of the slots. Requests from this host are
/// counted exactly. The weight of the load reported by the upstream decreases
/// with the age of the report.
double
ComputeRelativeLoad(const UpstreamFacts& aUpstream, core::Instant aNow)
{
  const core::Duration age = aNow - aUpstream.m_reportedAt;
  const double lifetime = static_cast<double>(kLoadReportLifetime.count());
  const double reportWeight =
    std::clamp(1.0 - static_cast<double>(age.count()) / lifetime, 0.0, 1.0);
  const double ownRequests = aUpstream.m_outstanding;
  const double otherRequests =
    std::max(0.0, static_cast<double>(aUpstream.m_reportedLoad) - ownRequests);
  return (ownRequests + reportWeight * otherRequests) / aUpstream.m_slots;
}

double
ComputeCost(const UpstreamFacts& aUpstream,
            const configuration::TwoChoices& aPolicy,
            const ChoiceRequest& aRequest)
{
  const bool isLocal = aUpstream.m_failureDomain == aRequest.m_ownFailureDomain;
  const double remotePenalty = aPolicy.m_domainPreferencePercent / kPercent;
  return ComputeRelativeLoad(aUpstream, aRequest.m_now) +
         (isLocal ? 0.0 : remotePenalty);
}

std::optional<size_t>
DrawCandidate(Upstreams aUpstreams,
              const ChoiceRequest& aRequest,
              uint64_t& aRandomState)
{
  for (size_t i = 0; i < kMaxRandomDraws; ++i) {
    aRandomState = NextRandom(aRandomState);
    const size_t index = aRandomState % aUpstreams.Size();
    if (IsCandidate(aUpstreams, aRequest, index)) {
      return index;
    }
  }
  return FindNextCandidate(
    aUpstreams, aRequest, aRandomState % aUpstreams.Size());
}

std::optional<size_t>
ChooseByPolicy(Upstreams aUpstreams,
               const configuration::TwoChoices& aPolicy,
               const ChoiceRequest& aRequest)
{
  // Compares the next upstream in round-robin order with a random one. Round
  // robin alone spreads requests evenly, so the random upstream is used only if
  // its load is lower by at least one request.
  const std::optional<size_t> first = FindNextCandidate(
    aUpstreams, aRequest, aRequest.m_sequence % aUpstreams.Size());
  uint64_t randomState = aRequest.m_sequence;
  const std::optional<size_t> second =
    DrawCandidate(aUpstreams, aRequest, randomState);
  if (!first || !second) {
    return first;
  }
  const double oneRequest = 1.0 / aUpstreams[*first].m_slots;
  const double firstCost = ComputeCost(aUpstreams[*first], aPolicy, aRequest);
  const double secondCost = ComputeCost(aUpstreams[*second], aPolicy, aRequest);
  return secondCost + oneRequest <= firstCost ? second : first;
}

std::optional<size_t>
ChooseByPolicy(Upstreams aUpstreams,
               const configuration::RoundRobin&,
               const ChoiceRequest& aRequest)
{
  return FindNextCandidate(
    aUpstreams, aRequest, aRequest.m_sequence % aUpstreams.Size());
}

std::optional<size_t>
ChooseByPolicy(Upstreams aUpstreams,
               const configuration::LeastReportedLoad&,
               const ChoiceRequest& aRequest)
{
  std::optional<size_t> best;
  for (size_t i = 0; i < aUpstreams.Size(); ++i) {
    if (IsCandidate(aUpstreams, aRequest, i) &&
        (!best ||
         aUpstreams[i].m_reportedLoad < aUpstreams[*best].m_reportedLoad)) {
      best = i;
    }
  }
  return best;
}

} // namespace

bool
IsUsable(const UpstreamFacts& aUpstream, core::Instant aNow)
{
  return !aUpstream.m_leaving && aUpstream.m_ejectedUntil <= aNow &&
         aUpstream.m_nextPermitAt <= aNow;
}

UpstreamSource
SourceOf(const std::span<const UpstreamFacts>& aFacts)
{
  return { aFacts.size(),
           aFacts.data(),
           [](const void* aContext, size_t aIndex) {
             return static_cast<const UpstreamFacts*>(aContext)[aIndex];
           } };
}

std::optional<size_t>
ChooseUpstream(const UpstreamSource& aUpstreams,
               const configuration::RoutingPolicy& aPolicy,
               const ChoiceRequest& aRequest)
{
  if (aUpstreams.Size() == 0) {
    return std::nullopt;
  }
  return std::visit(
    [&](const auto& aConcretePolicy) {
      return ChooseByPolicy(aUpstreams, aConcretePolicy, aRequest);
    },
    aPolicy);
}

} // namespace heatherdeal::routing
