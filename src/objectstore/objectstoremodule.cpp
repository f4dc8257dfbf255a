#include "objectstore/objectstoremodule.h"

#include "http/httpmodule.h"
#include "http/server.h"
#include "kernel/plugin.h"
#include "objectstore/objectcodec.h"

namespace heatherdeal::objectstore {

namespace {

constexpr int64_t kMaxPort = 65535;
constexpr double kMaxCallsPerSecond = 2000.0;
constexpr int64_t kMaxMilliseconds = 600'000;

/// Parses an endpoint given as an object with address and port, or as a string
/// "ADDRESS:PORT".
core::Endpoint
ParseEndpoint(kernel::SettingsReader& aReader,
              const boost::json::value& aValue,
              std::string_view aPath)
{
  core::Endpoint endpoint;
  if (!aValue.is_string()) {
    kernel::SettingsReader element(aValue, aPath, aReader.Errors());
    endpoint.m_address = element.TextOr("address", "127.0.0.1");
    endpoint.m_port =
      static_cast<uint16_t>(element.Integer("port", { 1, kMaxPort }));
    return endpoint;
  }
  const std::string text(aValue.get_string());
  const size_t colon = text.rfind(':');
  const long port = colon == std::string::npos
                      ? 0
                      : std::strtol(text.c_str() + colon + 1, nullptr, 10);
  if (port < 1 || port > kMaxPort) {
    aReader.Errors().m_errors.push_back(
      { std::string(aPath), text, "ADDRESS:PORT" });
    return endpoint;
  }
  endpoint.m_address = text.substr(0, colon);
  endpoint.m_port = static_cast<uint16_t>(port);
  return endpoint;
}

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  ObjectStoreSettings settings;
  aReader.ForEach(
    "endpoints", [&](const boost::json::value& aValue, std::string_view aPath) {
      settings.m_endpoints.push_back(ParseEndpoint(aReader, aValue, aPath));
    });
  if (settings.m_endpoints.empty()) {
    aReader.Errors().m_errors.push_back(
      { aReader.PathOf("endpoints"), "[]", "at least one endpoint" });
  }
  const int64_t relayPort =
    aReader.IntegerOr("bootstrap_relay_port", { 0, kMaxPort }, 0);
  aReader.ForEach(
    "bootstrap_relays",
    [&](const boost::json::value& aValue, std::string_view aPath) {
      core::Endpoint relay = ParseEndpoint(aReader, aValue, aPath);
      if (relayPort > 0) {
        relay.m_port = static_cast<uint16_t>(relayPort);
      }
      settings.m_bootstrapRelays.push_back(std::move(relay));
    });
  settings.m_budget.m_callsPerSecond =
    aReader.NumberOr("calls_per_second", 0.1, kMaxCallsPerSecond, 20.0);
  settings.m_budget.m_burst =
    aReader.NumberOr("burst", 4.0, kMaxCallsPerSecond, 40.0);
  const kernel::Range range{ 1, kMaxMilliseconds };
  settings.m_callTimeout =
    aReader.MillisecondsOr("call_time_ms", range, settings.m_callTimeout);
  settings.m_longPollWait =
    aReader.MillisecondsOr("watch_time_ms", range, settings.m_longPollWait);
  settings.m_backoff.m_maxDelay = aReader.MillisecondsOr(
    "backoff_max_ms", range, settings.m_backoff.m_maxDelay);
  settings.m_bootstrapTime = aReader.MillisecondsOr(
    "bootstrap_time_ms", range, settings.m_bootstrapTime);
  settings.m_confirmedKinds = aReader.OptionalTexts("confirm_kinds");
  settings.m_confirmationWait = aReader.MillisecondsOr(
    "confirm_time_ms", range, settings.m_confirmationWait);
  settings.m_servesRelay = aReader.FlagOr("serves_relay", false);
  settings.m_upstreamsCheckFencingTokens =
    aReader.FlagOr("upstreams_check_fences", true);
  settings.m_expiryGrace = aReader.MillisecondsOr(
    "lapse_grace_ms", { 0, kMaxMilliseconds }, settings.m_expiryGrace);
  return settings;
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  const auto& settings = std::any_cast<const ObjectStoreSettings&>(aSettings);
  auto store = std::make_shared<ObjectStore>(aContext, settings);
  auto hosts = std::make_shared<Hosts>();
  aContext.Provide(store);
  aContext.Provide(hosts);
  aContext.Get<http::Server>()->AddRoute(
    { "POST", "/objectstore/relay", [store](http::Exchange& aExchange) {
       return store->ServeRelayedCall(aExchange);
     } });
  if (settings.m_servesRelay) {
    aContext.Get<http::Server>()->AddRoute(
      { "GET", "/watch/", [store](http::Exchange& aExchange) {
         return store->ServeRelayedWatch(aExchange);
       } });
  }
  for (const std::string_view kind : CodecInUse().m_hostKinds) {
    store->WatchWithExpiryGrace(
      std::string(kind),
      [hosts, kind, settings, &aContext](
        std::span<const StoredObject> aObjects) {
        uint64_t invalidCount = 0;
        std::vector<HostEntry> entries = ParseHostList(aObjects, invalidCount);
        if (!settings.m_upstreamsCheckFencingTokens) {
          for (HostEntry& entry : entries) {
            entry.m_fencingCheck = IgnoresFencingToken{};
          }
        }
        hosts->Replace(kind, std::move(entries));
        aContext.Metrics().Get("objectstore.invalid_host").Add(invalidCount);
      });
  }
  return absl::OkStatus();
}

boost::json::value
Dump(kernel::Context& aContext)
{
  boost::json::array dump;
  const auto entries = aContext.Get<Hosts>()->Read();
  for (const HostEntry& entry : *entries) {
    dump.push_back({ { "name", entry.m_name },
                     { "service", entry.m_service },
                     { "endpoint", http::ToText(entry.m_endpoint) },
                     { "failure_domain", entry.m_failureDomain.m_value },
                     { "leaving", entry.m_leaving } });
  }
  return { { "hosts", std::move(dump) } };
}

constexpr std::string_view kDependencies[] = { http::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kDependencies,
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = nullptr,
  .m_dump = Dump,
} };

} // namespace

} // namespace heatherdeal::objectstore
