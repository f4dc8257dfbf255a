#pragma once

#include "routing/choice.h"

namespace heatherdeal::routing {

/// True if the upstream is usable and the request has not been sent to it.
bool
IsCandidate(const UpstreamSource& aUpstreams,
            const ChoiceRequest& aRequest,
            size_t aIndex);

/// Returns the first candidate at or after aStart, wrapping around at the end.
std::optional<size_t>
FindNextCandidate(const UpstreamSource& aUpstreams,
                  const ChoiceRequest& aRequest,
                  size_t aStart);

/// Returns a random candidate and advances the random state.
std::optional<size_t>
DrawCandidate(const UpstreamSource& aUpstreams,
              const ChoiceRequest& aRequest,
              uint64_t& aRandomState);

/// Returns the number of requests that other hosts have in flight. The weight
/// of the load that the upstream reported decreases with the age of the report.
double
EstimateOtherRequests(const UpstreamFacts& aUpstream, core::Instant aNow);

/// Returns the index of the upstream to use by expected work, or nothing if
/// none is usable.
std::optional<size_t>
ChooseByExpectedWork(const UpstreamSource& aUpstreams,
                     const configuration::LeastExpectedWork& aPolicy,
                     const ChoiceRequest& aRequest);

} // namespace heatherdeal::routing
