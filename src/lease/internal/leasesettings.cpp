#include "lease/leasesettings.h"

namespace heatherdeal::lease {

LeasePolicy
ParseLeasePolicy(kernel::SettingsReader& aReader)
{
  constexpr kernel::Range kRange{ 1, 3'600'000 };
  LeasePolicy policy;
  policy.m_length = aReader.MillisecondsOr("lease_ms", kRange, policy.m_length);
  policy.m_renewAfter =
    aReader.MillisecondsOr("lease_renew_ms", kRange, policy.m_renewAfter);
  policy.m_stopBefore =
    aReader.MillisecondsOr("lease_stop_before_ms", kRange, policy.m_stopBefore);
  if (policy.m_renewAfter + policy.m_stopBefore >= policy.m_length) {
    aReader.Errors().m_errors.push_back(
      { aReader.PathOf("lease_ms"),
        std::to_string(policy.m_length.count() / 1000),
        "greater than the sum of lease_renew_ms and lease_stop_before_ms" });
  }
  return policy;
}

} // namespace heatherdeal::lease
