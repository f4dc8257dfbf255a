#include <algorithm>

#include "routing/decisions/candidates.h"

namespace heatherdeal::routing {

namespace {

constexpr double kPercent = 100.0;

uint32_t
SlotsOf(const UpstreamFacts& aUpstream)
{
  return std::max<uint32_t>(1,
                            aUpstream.m_reportedSlots > 0
                              ? aUpstream.m_reportedSlots
                              : aUpstream.m_slots);
}

/// Returns the time until the upstream can be expected to have finished the
/// request, in units of the mean work of a request, less the time that the
/// request takes on an upstream at usual speed. That time is the same for all
/// upstreams; without it, the result is the load of TwoChoices to the last bit
/// if all requests cost the same and work takes as long as usual.
double
EstimateFinish(const UpstreamFacts& aUpstream, const ChoiceRequest& aRequest)
{
  const ExpectedWork& work = aRequest.m_work;
  const double ownWork = aUpstream.m_outstandingWork / work.m_mean;
  const double otherWork = EstimateOtherRequests(aUpstream, aRequest.m_now) *
                           (work.m_inFlightMean / work.m_mean);
  const double wait = (ownWork + otherWork) / SlotsOf(aUpstream);
  const double workTime = ExpectWorkTime(aUpstream.m_workTime, aRequest.m_now);
  return workTime * wait + (workTime - 1.0) * (work.m_request / work.m_mean);
}

double
ComputeCost(const UpstreamFacts& aUpstream,
            const configuration::LeastExpectedWork& aPolicy,
            const ChoiceRequest& aRequest)
{
  const bool isLocal = aUpstream.m_failureDomain == aRequest.m_ownFailureDomain;
  const double remotePenalty = aPolicy.m_domainPreferencePercent / kPercent;
  return EstimateFinish(aUpstream, aRequest) + (isLocal ? 0.0 : remotePenalty);
}

} // namespace

std::optional<size_t>
ChooseByExpectedWork(const UpstreamSource& aUpstreams,
                     const configuration::LeastExpectedWork& aPolicy,
                     const ChoiceRequest& aRequest)
{
  // Compares the same two upstreams as TwoChoices, with the same preference for
  // the one in turn.
  const std::optional<size_t> first = FindNextCandidate(
    aUpstreams, aRequest, aRequest.m_sequence % aUpstreams.Size());
  uint64_t randomState = aRequest.m_sequence;
  const std::optional<size_t> second =
    DrawCandidate(aUpstreams, aRequest, randomState);
  if (!first || !second) {
    return first;
  }
  const UpstreamFacts firstFacts = aUpstreams[*first];
  const double oneRequest = 1.0 / SlotsOf(firstFacts);
  const double firstCost = ComputeCost(firstFacts, aPolicy, aRequest);
  const double secondCost = ComputeCost(aUpstreams[*second], aPolicy, aRequest);
  return secondCost + oneRequest <= firstCost ? second : first;
}

} // namespace heatherdeal::routing
