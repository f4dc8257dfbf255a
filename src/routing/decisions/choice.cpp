#include "routing/choice.h"

#include <algorithm>

#include "core/overloaded.h"

namespace heatherdeal::routing {

namespace {

constexpr core::Duration kReportLifetime = std::chrono::milliseconds(300);
constexpr double kPercent = 100.0;
// Draws after which a choice looks at every upstream instead.
constexpr size_t kMaxDraws = 8;

using Upstreams = const UpstreamSource&;

bool
IsCandidate(Upstreams aUpstreams, const ChoiceRequest& aRequest, size_t aIndex)
{
  return IsUsable(aUpstreams[aIndex], aRequest.m_now) &&
         std::ranges::find(aRequest.m_tried, aIndex) == aRequest.m_tried.end();
}

/// The first candidate at or behind aStart, in a circle.
std::optional<size_t>
NextCandidate(Upstreams aUpstreams,
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

uint64_t
Mix(uint64_t aValue)
{
  aValue += 0x9e3779b97f4a7c15ULL;
  aValue = (aValue ^ (aValue >> 30)) * 0xbf58476d1ce4e5b9ULL;
  aValue = (aValue ^ (aValue >> 27)) * 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31);
}

/// Load in shares of the slots. Own requests are counted exactly; a report
/// counts less the older it is.
double
LoadOf(const UpstreamFacts& aUpstream, core::Instant aNow)
{
  const core::Duration age = aNow - aUpstream.m_reportedAt;
  const double lifetime = static_cast<double>(kReportLifetime.count());
  const double trust =
    std::clamp(1.0 - static_cast<double>(age.count()) / lifetime, 0.0, 1.0);
  const double own = aUpstream.m_outstanding;
  const double others =
    std::max(0.0, static_cast<double>(aUpstream.m_reported) - own);
  return (own + trust * others) / aUpstream.m_slots;
}

double
CostOf(const UpstreamFacts& aUpstream,
       const configuration::TwoChoices& aPolicy,
       const ChoiceRequest& aRequest)
{
  const bool isNear = aUpstream.m_failureDomain == aRequest.m_ownDomain;
  const double far = aPolicy.m_domainPreferencePercent / kPercent;
  return LoadOf(aUpstream, aRequest.m_now) + (isNear ? 0.0 : far);
}

std::optional<size_t>
Draw(Upstreams aUpstreams, const ChoiceRequest& aRequest, uint64_t& aTicket)
{
  for (size_t i = 0; i < kMaxDraws; ++i) {
    aTicket = Mix(aTicket);
    const size_t index = aTicket % aUpstreams.Size();
    if (IsCandidate(aUpstreams, aRequest, index)) {
      return index;
    }
  }
  return NextCandidate(aUpstreams, aRequest, aTicket % aUpstreams.Size());
}

std::optional<size_t>
Choose(Upstreams aUpstreams,
       const configuration::TwoChoices& aPolicy,
       const ChoiceRequest& aRequest)
{
  // One upstream in turn and one at random: turns alone spread evenly, and
  // the second is taken only if it is less loaded by a whole request.
  const std::optional<size_t> first =
    NextCandidate(aUpstreams, aRequest, aRequest.m_ticket % aUpstreams.Size());
  uint64_t ticket = aRequest.m_ticket;
  const std::optional<size_t> second = Draw(aUpstreams, aRequest, ticket);
  if (!first || !second) {
    return first;
  }
  const double oneRequest = 1.0 / aUpstreams[*first].m_slots;
  const double firstCost = CostOf(aUpstreams[*first], aPolicy, aRequest);
  const double secondCost = CostOf(aUpstreams[*second], aPolicy, aRequest);
  return secondCost + oneRequest <= firstCost ? second : first;
}

std::optional<size_t>
Choose(Upstreams aUpstreams,
       const configuration::RoundRobin&,
       const ChoiceRequest& aRequest)
{
  return NextCandidate(
    aUpstreams, aRequest, aRequest.m_ticket % aUpstreams.Size());
}

std::optional<size_t>
Choose(Upstreams aUpstreams,
       const configuration::LeastReportedLoad&,
       const ChoiceRequest& aRequest)
{
  std::optional<size_t> best;
  for (size_t i = 0; i < aUpstreams.Size(); ++i) {
    if (IsCandidate(aUpstreams, aRequest, i) &&
        (!best || aUpstreams[i].m_reported < aUpstreams[*best].m_reported)) {
      best = i;
    }
  }
  return best;
}

} // namespace

bool
IsUsable(const UpstreamFacts& aUpstream, core::Instant aNow)
{
  return !aUpstream.m_leaving && aUpstream.m_ejectedUntil <= aNow;
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
    [&](const auto& aTyped) { return Choose(aUpstreams, aTyped, aRequest); },
    aPolicy);
}

} // namespace heatherdeal::routing
