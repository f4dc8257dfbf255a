#include "relay/attemptlimit.h"

#include <algorithm>

#include "core/overloaded.h"

namespace heatherdeal::relay {

namespace {

// An upstream that is four times slower than usual still answers in time.
constexpr int kObjectivesPerAttempt = 4;
constexpr int kOfferShareDivisor = 2;

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
  return std::min(aDeadline,
                  aNow + aRoute.m_latencyObjective * kObjectivesPerAttempt);
}

core::Instant
OfferUntil(const configuration::Route& aRoute,
           core::Instant aArrived,
           core::Instant aDeadline)
{
  return std::min(aDeadline, aArrived + aRoute.m_timeout / kOfferShareDivisor);
}

} // namespace heatherdeal::relay
