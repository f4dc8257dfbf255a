#include "routing/decisions/candidates.h"

#include <algorithm>

namespace heatherdeal::routing {

namespace {

constexpr core::Duration kLoadReportLifetime = std::chrono::milliseconds(300);
// Number of random draws after which the upstreams are scanned in order
// instead.
constexpr size_t kMaxRandomDraws = 8;

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

} // namespace

bool
IsCandidate(const UpstreamSource& aUpstreams,
            const ChoiceRequest& aRequest,
            size_t aIndex)
{
  return IsUsable(aUpstreams[aIndex], aRequest.m_now) &&
         std::ranges::find(aRequest.m_tried, aIndex) == aRequest.m_tried.end();
}

std::optional<size_t>
FindNextCandidate(const UpstreamSource& aUpstreams,
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

std::optional<size_t>
DrawCandidate(const UpstreamSource& aUpstreams,
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

double
EstimateOtherRequests(const UpstreamFacts& aUpstream, core::Instant aNow)
{
  const core::Duration age = aNow - aUpstream.m_reportedAt;
  const double lifetime = static_cast<double>(kLoadReportLifetime.count());
  const double reportWeight =
    std::clamp(1.0 - static_cast<double>(age.count()) / lifetime, 0.0, 1.0);
  const double ownRequests = aUpstream.m_outstanding;
  return reportWeight *
         std::max(0.0,
                  static_cast<double>(aUpstream.m_reportedLoad) - ownRequests);
}

} // namespace heatherdeal::routing
