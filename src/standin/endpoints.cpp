#include "standin/endpoints.h"

namespace heatherdeal::standin {

namespace {

constexpr int64_t kMaxPort = 65535;
constexpr int64_t kMaxLifetimeMilliseconds = 3'600'000;

} // namespace

std::vector<core::Endpoint>
ParseEndpoints(kernel::SettingsReader& aReader, std::string_view aName)
{
  std::vector<core::Endpoint> endpoints;
  aReader.ForEach(
    aName, [&](const boost::json::value& aValue, std::string_view aPath) {
      kernel::SettingsReader reader(aValue, aPath, aReader.Errors());
      core::Endpoint endpoint;
      endpoint.m_address = reader.TextOr("address", "127.0.0.1");
      endpoint.m_port =
        static_cast<uint16_t>(reader.Integer("port", { 1, kMaxPort }));
      endpoints.push_back(std::move(endpoint));
    });
  return endpoints;
}

Addresses
ParseAddresses(kernel::SettingsReader& aReader)
{
  Addresses addresses;
  addresses.m_endpoints = ParseEndpoints(aReader, "addresses");
  addresses.m_lifetime = aReader.MillisecondsOr(
    "lifetime_ms", { 1, kMaxLifetimeMilliseconds }, std::chrono::seconds(1));
  return addresses;
}

} // namespace heatherdeal::standin
