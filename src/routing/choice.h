#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <variant>

#include "configuration/document.h"
#include "core/ids.h"
#include "core/instant.h"
#include "routing/workestimate.h"
#include "routing/worktime.h"

namespace heatherdeal::routing {

/// The state of an upstream that the choice is based on.
struct UpstreamFacts
{
  core::FailureDomainId m_failureDomain;
  uint32_t m_slots = 1;
  bool m_leaving = false;
  core::Instant m_ejectedUntil{};
  /// When the next request may be sent within the upstream's own limit.
  core::Instant m_nextPermitAt{};
  /// Number of requests from this host that are in flight.
  uint32_t m_outstanding = 0;
  /// Number of running and waiting requests that the upstream last reported.
  uint32_t m_reportedLoad = 0;
  core::Instant m_reportedAt{};
  /// Expected work of this host's requests in flight, in microseconds of an
  /// upstream at usual speed.
  double m_outstandingWork = 0.0;
  /// Number of slots that the upstream last reported; 0 if none.
  uint32_t m_reportedSlots = 0;
  WorkTimeState m_workTime;
};

/// Indices of the upstreams that the request has already been sent to.
using TriedUpstreams = std::span<const size_t>;

/// The request for which an upstream is chosen.
struct ChoiceRequest
{
  core::FailureDomainId m_ownFailureDomain;
  TriedUpstreams m_tried;
  /// Sequence number of the choice. Selects the upstream for round robin and
  /// seeds the random draw.
  uint64_t m_sequence = 0;
  core::Instant m_now{};
  ExpectedWork m_work;
};

/// True if new requests may be sent to the upstream now.
bool
IsUsable(const UpstreamFacts& aUpstream, core::Instant aNow);

/// Random access to the upstreams of a service. Reads the state of an upstream
/// only when it is examined, so that the cost of a choice between two upstreams
/// does not grow with the size of the pool.
struct UpstreamSource
{
  size_t m_count = 0;
  const void* m_context = nullptr;
  UpstreamFacts (*m_factsAt)(const void* aContext, size_t aIndex) = nullptr;

  size_t Size() const { return m_count; }
  UpstreamFacts operator[](size_t aIndex) const
  {
    return m_factsAt(m_context, aIndex);
  }
};

/// Returns a source that reads from the span, which must outlive it.
UpstreamSource
SourceOf(const std::span<const UpstreamFacts>& aFacts);

/// Returns the index of the upstream to use, or nothing if none is usable.
std::optional<size_t>
ChooseUpstream(const UpstreamSource& aUpstreams,
               const configuration::RoutingPolicy& aPolicy,
               const ChoiceRequest& aRequest);

} // namespace heatherdeal::routing
