#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <variant>

#include "configuration/document.h"
#include "core/ids.h"
#include "core/instant.h"

namespace heatherdeal::routing {

/// What is known of an upstream when a request has to be sent.
struct UpstreamFacts
{
  core::FailureDomainId m_failureDomain;
  uint32_t m_slots = 1;
  bool m_leaving = false;
  core::Instant m_ejectedUntil{};
  /// Requests of this host that it has not answered yet.
  uint32_t m_outstanding = 0;
  /// What it last said it was running, and when.
  uint32_t m_reported = 0;
  core::Instant m_reportedAt{};
};

/// Which upstreams a request has been sent to already.
using TriedUpstreams = std::span<const size_t>;

struct ChoiceRequest
{
  core::FailureDomainId m_ownDomain;
  TriedUpstreams m_tried;
  /// A fresh random number for each choice.
  uint64_t m_ticket = 0;
  core::Instant m_now{};
};

/// True if new work may be sent there now.
bool
IsUsable(const UpstreamFacts& aUpstream, core::Instant aNow);

/// The upstreams of a service, looked at one by one, so that a choice costs
/// the same however many there are.
struct UpstreamSource
{
  size_t m_count = 0;
  const void* m_context = nullptr;
  UpstreamFacts (*m_at)(const void* aContext, size_t aIndex) = nullptr;

  size_t Size() const { return m_count; }
  UpstreamFacts operator[](size_t aIndex) const
  {
    return m_at(m_context, aIndex);
  }
};

/// A source of facts that stand in a span.
UpstreamSource
SourceOf(const std::span<const UpstreamFacts>& aFacts);

/// Index of the upstream to use; nothing if none may be used.
std::optional<size_t>
ChooseUpstream(const UpstreamSource& aUpstreams,
               const configuration::RoutingPolicy& aPolicy,
               const ChoiceRequest& aRequest);

} // namespace heatherdeal::routing
