#include "routing/choice.h"

#include <algorithm>

#include "routing/decisions/candidates.h"

namespace heatherdeal::routing {

namespace {

constexpr double kPercent = 100.0;

using Upstreams = const UpstreamSource&;

/// Returns the load as a fraction of the slots. Requests from this host are
/// counted exactly.
double
ComputeRelativeLoad(const UpstreamFacts& aUpstream, core::Instant aNow)
{
  const double ownRequests = aUpstream.m_outstanding;
  return (ownRequests + EstimateOtherRequests(aUpstream, aNow)) /
         aUpstream.m_slots;
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

std::optional<size_t>
ChooseByPolicy(Upstreams aUpstreams,
               const configuration::LeastExpectedWork& aPolicy,
               const ChoiceRequest& aRequest)
{
  return ChooseByExpectedWork(aUpstreams, aPolicy, aRequest);
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
