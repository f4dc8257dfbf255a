#include "gossip/gossipmodule.h"

#include "configuration/configurationmodule.h"
#include "http/httpmodule.h"
#include "kernel/plugin.h"
#include "objectstore/objectstoremodule.h"

namespace heatherdeal::gossip {

namespace {

constexpr int64_t kMaxPort = 65535;
constexpr int64_t kMaxKeyNumber = 255;
constexpr int64_t kMaxFanout = 32;
constexpr size_t kMinSecretBytes = 16;
constexpr kernel::Range kIntervalRange{ 10, 600'000 };

void
ParseKey(kernel::SettingsReader& aReader, GossipSettings& aSettings)
{
  const auto keyNumber =
    static_cast<uint8_t>(aReader.Integer("number", { 0, kMaxKeyNumber }));
  const std::string secret = aReader.Text("secret");
  if (secret.size() < kMinSecretBytes) {
    aReader.Errors().m_errors.push_back(
      { aReader.PathOf("secret"), "(secret)", "at least 16 bytes" });
  }
  aSettings.m_keys.m_secrets[keyNumber] = secret;
}

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  GossipSettings settings;
  settings.m_enabled = aReader.FlagOr("enabled", false);
  settings.m_listenEndpoint.m_address = aReader.TextOr("address", "127.0.0.1");
  settings.m_listenEndpoint.m_port =
    static_cast<uint16_t>(aReader.IntegerOr("port", { 0, kMaxPort }, 0));
  settings.m_policy.m_roundInterval = aReader.MillisecondsOr(
    "interval_ms", kIntervalRange, settings.m_policy.m_roundInterval);
  settings.m_policy.m_suspectAfter = aReader.MillisecondsOr(
    "suspect_after_ms", kIntervalRange, settings.m_policy.m_suspectAfter);
  settings.m_policy.m_fanout = static_cast<uint32_t>(
    aReader.IntegerOr("fanout", { 1, kMaxFanout }, settings.m_policy.m_fanout));
  settings.m_policy.m_remoteFanout = static_cast<uint32_t>(aReader.IntegerOr(
    "remote_fanout", { 1, kMaxFanout }, settings.m_policy.m_fanout));
  settings.m_policy.m_piggybackedHosts = static_cast<uint32_t>(
    aReader.IntegerOr("piggyback",
                      { 0, kMaxHostsPerDigest - 1 },
                      settings.m_policy.m_piggybackedHosts));
  settings.m_relayRole = aReader.TextOr("relay_role", "");
  settings.m_servesRelay = aReader.FlagOr("serves_relay", false);
  settings.m_refreshKinds = aReader.OptionalTexts("refresh_kinds");
  settings.m_refreshInterval = aReader.MillisecondsOr(
    "refresh_interval_ms", kIntervalRange, settings.m_refreshInterval);
  settings.m_keys.m_activeKey = static_cast<uint8_t>(
    aReader.IntegerOr("active_key", { 0, kMaxKeyNumber }, 0));
  aReader.ForEach(
    "keys", [&](const boost::json::value& aValue, std::string_view aPath) {
      kernel::SettingsReader keyReader(aValue, aPath, aReader.Errors());
      ParseKey(keyReader, settings);
    });
  const bool hasActiveKey =
    settings.m_keys.m_secrets.contains(settings.m_keys.m_activeKey);
  if (settings.m_enabled && !hasActiveKey) {
    aReader.Errors().m_errors.push_back(
      { aReader.PathOf("active_key"),
        std::to_string(settings.m_keys.m_activeKey),
        "the number of a key listed in keys" });
  }
  return settings;
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  auto gossip = std::make_shared<Gossip>(
    aContext, std::any_cast<const GossipSettings&>(aSettings));
  aContext.Provide(gossip);
  return gossip->Start();
}

void
Drain(kernel::Context& aContext)
{
  aContext.Get<Gossip>()->StartLeaving();
}

boost::json::value
Dump(kernel::Context& aContext)
{
  const GossipState& state = aContext.Get<Gossip>()->State();
  boost::json::object members;
  for (const auto& [name, member] : state.m_members) {
    members[name] = { { "generation", member.m_hostStatus.m_generation },
                      { "heartbeat", member.m_hostStatus.m_heartbeat },
                      { "leaving", member.m_hostStatus.m_leaving },
                      { "suspect", IsSuspect(state, name, kernel::Now()) } };
  }
  return members;
}

constexpr std::string_view kDependencies[] = { configuration::kModuleName,
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

} // namespace heatherdeal::gossip
