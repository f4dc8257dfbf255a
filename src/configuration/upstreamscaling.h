#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/failure.h"
#include "core/ids.h"
#include "core/instant.h"

namespace heatherdeal::configuration {

/// The price of an upstream in a failure domain, for each second that it runs.
struct DomainPrice
{
  core::FailureDomainId m_failureDomain;
  double m_price = 1.0;
};

/// How many upstreams of a service may be ordered, and at what price.
struct UpstreamScaling
{
  /// Bounds on the number of upstreams in each failure domain, spot upstreams
  /// included.
  uint32_t m_min = 0;
  uint32_t m_max = 0;
  /// Time from the order until a new upstream serves.
  core::Duration m_startupTime = std::chrono::seconds(5);
  /// Price of a spot upstream as a fraction of the price of the others. Spot
  /// upstreams may be reclaimed, all those of a failure domain at once.
  double m_spotPrice = 1.0;
  std::vector<DomainPrice> m_prices;
};

/// Returns every inconsistency of the scaling at the JSON path.
std::vector<core::InvalidSetting>
ValidateScaling(const UpstreamScaling& aScaling, std::string_view aPath);

} // namespace heatherdeal::configuration
