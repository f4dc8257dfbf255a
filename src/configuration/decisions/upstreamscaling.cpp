#include "configuration/upstreamscaling.h"

#include <set>
#include <string>

namespace heatherdeal::configuration {

std::vector<core::InvalidSetting>
ValidateScaling(const UpstreamScaling& aScaling, std::string_view aPath)
{
  std::vector<core::InvalidSetting> errors;
  const std::string path(aPath);
  if (aScaling.m_max < aScaling.m_min) {
    errors.push_back({ path + ".max",
                       std::to_string(aScaling.m_max),
                       "at least the value of min" });
  }
  std::set<std::string_view> domains;
  for (const DomainPrice& price : aScaling.m_prices) {
    const std::string& domain = price.m_failureDomain.m_value;
    if (!domains.insert(domain).second) {
      errors.push_back(
        { path + ".prices", domain, "one price for each failure domain" });
    }
  }
  return errors;
}

} // namespace heatherdeal::configuration
