#include "discovery/discoverymodule.h"

#include "boost/json/serialize.hpp"

#include "discovery/directory.h"
#include "gossip/gossipmodule.h"
#include "http/httpmodule.h"
#include "kernel/json.h"
#include "kernel/plugin.h"
#include "objectstore/objectstoremodule.h"

namespace heatherdeal::discovery {

namespace {

constexpr int64_t kMaxDurationMilliseconds = 3'600'000;
constexpr int64_t kMaxAddressCount = 64;
constexpr std::string_view kDefaultRole = "entry";

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  DirectorySettings settings;
  settings.m_responseLifetime =
    aReader.MillisecondsOr("lifetime_ms",
                           { 1, kMaxDurationMilliseconds },
                           settings.m_responseLifetime);
  settings.m_leaveMargin = aReader.MillisecondsOr(
    "leave_margin_ms", { 0, kMaxDurationMilliseconds }, settings.m_leaveMargin);
  settings.m_maxAddresses = static_cast<uint32_t>(aReader.IntegerOr(
    "answers", { 1, kMaxAddressCount }, settings.m_maxAddresses));
  return settings;
}

std::string
ToJson(std::span<const core::Endpoint> aEndpoints, core::Duration aLifetime)
{
  boost::json::array addresses;
  for (const core::Endpoint& endpoint : aEndpoints) {
    addresses.push_back(
      { { "address", endpoint.m_address }, { "port", endpoint.m_port } });
  }
  const auto lifetime =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLifetime);
  return boost::json::serialize(
    boost::json::value{ { "addresses", std::move(addresses) },
                        { "lifetime_ms", lifetime.count() } });
}

boost::asio::awaitable<void>
HandleAddressesRequest(std::shared_ptr<Directory> aDirectory,
                       http::Exchange& aExchange)
{
  const std::string_view target = aExchange.ReceivedRequest().m_target;
  const std::string_view role =
    http::QueryValue(target, "role").value_or(kDefaultRole);
  const std::string_view failureDomain =
    http::QueryValue(target, "failure_domain").value_or("");
  const std::vector<core::Endpoint> endpoints =
    aDirectory->FindAddresses(role, failureDomain);
  http::Response response;
  if (endpoints.empty()) {
    response = http::MakeFailureResponse(core::NoUpstream{ std::string(role) });
  } else {
    response.m_head.m_headers.push_back({ "Content-Type", "application/json" });
    response.m_body = ToJson(endpoints, aDirectory->ResponseLifetime());
  }
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  auto directory = std::make_shared<Directory>(
    aContext, std::any_cast<const DirectorySettings&>(aSettings));
  aContext.Provide(directory);
  aContext.Get<http::Server>()->AddRoute(
    { "GET", "/v1/addresses", [directory](http::Exchange& aExchange) {
       return HandleAddressesRequest(directory, aExchange);
     } });
  return absl::OkStatus();
}

void
Drain(kernel::Context& aContext)
{
  aContext.Get<Directory>()->StartLeaving();
}

boost::json::value
Dump(kernel::Context& aContext)
{
  const auto directory = aContext.Get<Directory>();
  return { { "answers", directory->RequestCount() },
           { "leaving", directory->IsLeaving() } };
}

constexpr std::string_view kDependencies[] = { gossip::kModuleName,
                                               http::kModuleName,
                                               objectstore::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kDependencies,
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = Drain,
  .m_dump = Dump,
} };

} // namespace

} // namespace heatherdeal::discovery
