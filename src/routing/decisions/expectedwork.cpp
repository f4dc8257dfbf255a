#include <algorithm>

#include "routing/decisions/candidates.h"

namespace heatherdeal::routing {

namespace {

constexpr double kPercent = 100.0;
// An upstream is in a slow phase if its work takes longer than usual by this
// factor. Neighbours slow down a machine by far more.
constexpr double kSlowPhaseFactor = 1.2;
// Number of upstreams that are drawn at most and compared with the one in turn.
constexpr size_t kMaxDraws = 3;

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

/// True if work takes longer than it usually does on this upstream, by a recent
/// report.
bool
IsInSlowPhase(const UpstreamFacts& aUpstream, core::Instant aNow)
{
  return ExpectReportedWorkTime(aUpstream.m_workTime, aNow) >
         kSlowPhaseFactor * aUpstream.m_workTime.m_meanReported;
}

struct CostedUpstream
{
  size_t m_index = 0;
  UpstreamFacts m_facts;
  double m_cost = 0.0;
};

/// Replaces the upstream if the other one's cost is lower by at least one
/// request.
void
ReplaceIfCheaper(CostedUpstream& aChosen, CostedUpstream aOther)
{
  const double oneRequest = 1.0 / SlotsOf(aChosen.m_facts);
  if (aOther.m_cost + oneRequest <= aChosen.m_cost) {
    aChosen = std::move(aOther);
  }
}

} // namespace

std::optional<size_t>
ChooseByExpectedWork(const UpstreamSource& aUpstreams,
                     const configuration::LeastExpectedWork& aPolicy,
                     const ChoiceRequest& aRequest)
{
  const auto withCost = [&](size_t aIndex) {
    const UpstreamFacts facts = aUpstreams[aIndex];
    return CostedUpstream{ aIndex,
                           facts,
                           ComputeCost(facts, aPolicy, aRequest) };
  };
  // Compares the same two upstreams as TwoChoices, with the same preference for
  // the one in turn, and more of them only if the better one is in a slow
  // phase. Reports are late, so that comparing more each time would send the
  // requests of all hosts to the few upstreams that seem best.
  const std::optional<size_t> first = FindNextCandidate(
    aUpstreams, aRequest, aRequest.m_sequence % aUpstreams.Size());
  if (!first) {
    return std::nullopt;
  }
  CostedUpstream chosen = withCost(*first);
  uint64_t randomState = aRequest.m_sequence;
  for (size_t draw = 0; draw < kMaxDraws; ++draw) {
    if (draw > 0 && !IsInSlowPhase(chosen.m_facts, aRequest.m_now)) {
      break;
    }
    if (const auto other = DrawCandidate(aUpstreams, aRequest, randomState)) {
      ReplaceIfCheaper(chosen, withCost(*other));
    }
  }
  return chosen.m_index;
}

} // namespace heatherdeal::routing
