#include "batches/retention.h"

namespace heatherdeal::batches {

bool
IsExpired(const Placement& aPlacement,
          int64_t aNowUnixMs,
          core::Duration aRetention)
{
  const auto retention =
    std::chrono::duration_cast<std::chrono::milliseconds>(aRetention);
  return aPlacement.m_ended &&
         aPlacement.m_acceptedAt < aNowUnixMs - retention.count();
}

} // namespace heatherdeal::batches
