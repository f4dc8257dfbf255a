#include "relay/attemptlimit.h"

#include <algorithm>

#include "core/overloaded.h"

namespace heatherdeal::relay {

namespace {

// The timeout of an attempt as a multiple of the route's latency objective, so
// that an upstream that is four times slower than usual still responds in time.
constexpr int kAttemptTimeoutInObjectives = 4;
// Refused requests are retried for at most half of the route's timeout.
constexpr int kRefusalRetryTimeoutDivisor = 2;

} // namespace

bool
IsIdempotent(const configuration::RequestKind& aKind)
{
  return std::visit(
    core::Overloaded{
      [](const configuration::SafeRequests&) { return true; },
      [](const configuration::UnsafeRequests&) { return false; },
      [](const configuration::StreamRequests& aStream) {
        return aStream.m_resumable;
      },
      [](const configuration::BatchSubmissions&) { return true; } },
    aKind);
}

core::Instant
AttemptDeadline(const configuration::Route& aRoute,
                uint32_t aAttemptsMade,
                core::Instant aNow,
                core::Instant aDeadline)
{
  const bool isLast = aAttemptsMade + 1 >= aRoute.m_maxAttempts;
  if (isLast || !IsIdempotent(aRoute.m_kind)) {
    return aDeadline;
  }
  return std::min(
    aDeadline, aNow + aRoute.m_latencyObjective * kAttemptTimeoutInObjectives);
}

core::Instant
RefusalRetryDeadline(const configuration::Route& aRoute,
                     core::Instant aArrivedAt,
                     core::Instant aDeadline)
{
  return std::min(aDeadline,
                  aArrivedAt + aRoute.m_timeout / kRefusalRetryTimeoutDivisor);
}

} // namespace heatherdeal::relay
