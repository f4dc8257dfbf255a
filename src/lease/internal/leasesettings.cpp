#include "lease/leasesettings.h"

namespace heatherdeal::lease {

LeasePolicy
ParseLeasePolicy(kernel::SettingsReader& aReader)
{
  constexpr kernel::Range kRange{ 1, 3'600'000 };
  LeasePolicy policy;
  policy.m_duration =
    aReader.MillisecondsOr("lease_ms", kRange, policy.m_duration);
  policy.m_renewInterval =
    aReader.MillisecondsOr("lease_renew_ms", kRange, policy.m_renewInterval);
  policy.m_safetyMargin = aReader.MillisecondsOr(
    "lease_stop_before_ms", kRange, policy.m_safetyMargin);
  if (policy.m_renewInterval + policy.m_safetyMargin >= policy.m_duration) {
    aReader.Errors().m_errors.push_back(
      { aReader.PathOf("lease_ms"),
        std::to_string(policy.m_duration.count() / 1000),
        "greater than the sum of lease_renew_ms and lease_stop_before_ms" });
  }
  return policy;
}

} // namespace heatherdeal::lease
