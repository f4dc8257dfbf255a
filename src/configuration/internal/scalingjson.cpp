#include "configuration/internal/scalingjson.h"

#include "boost/json/array.hpp"

namespace heatherdeal::configuration {

namespace {

constexpr kernel::Range kUpstreamCountRange{ 0, 100'000 };
constexpr kernel::Range kStartupMillisecondsRange{ 0, 3'600'000 };
constexpr double kMaxPrice = 1e9;

} // namespace

UpstreamScaling
ParseScaling(kernel::SettingsReader& aReader)
{
  UpstreamScaling scaling;
  scaling.m_min =
    static_cast<uint32_t>(aReader.Integer("min", kUpstreamCountRange));
  scaling.m_max =
    static_cast<uint32_t>(aReader.Integer("max", kUpstreamCountRange));
  scaling.m_startupTime = aReader.MillisecondsOr(
    "startup_ms", kStartupMillisecondsRange, scaling.m_startupTime);
  scaling.m_spotPrice =
    aReader.NumberOr("spot_price", 0.0, 1.0, scaling.m_spotPrice);
  aReader.ForEach(
    "prices", [&](const boost::json::value& aValue, std::string_view aPath) {
      kernel::SettingsReader element(aValue, aPath, aReader.Errors());
      DomainPrice price;
      price.m_failureDomain.m_value = element.Text("failure_domain");
      price.m_price = element.NumberOr("price", 0.0, kMaxPrice, price.m_price);
      scaling.m_prices.push_back(std::move(price));
    });
  return scaling;
}

boost::json::object
ToObject(const UpstreamScaling& aScaling)
{
  boost::json::array prices;
  for (const DomainPrice& price : aScaling.m_prices) {
    prices.push_back({ { "failure_domain", price.m_failureDomain.m_value },
                       { "price", price.m_price } });
  }
  const auto startupMilliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aScaling.m_startupTime);
  return { { "min", aScaling.m_min },
           { "max", aScaling.m_max },
           { "startup_ms", startupMilliseconds.count() },
           { "spot_price", aScaling.m_spotPrice },
           { "prices", std::move(prices) } };
}

} // namespace heatherdeal::configuration
