#include "discovery/discoverymodule.h"

#include <atomic>

#include "boost/json/serialize.hpp"

#include "discovery/addresses.h"
#include "gossip/gossipmodule.h"
#include "http/httpmodule.h"
#include "kernel/deadlinetimer.h"
#include "kernel/json.h"
#include "kernel/plugin.h"
#include "objectstore/objectstoremodule.h"

namespace heatherdeal::discovery {

namespace {

constexpr int64_t kMaxLifetimeMilliseconds = 3'600'000;
constexpr int64_t kMaxAnswers = 64;
constexpr std::string_view kDefaultRole = "entry";

struct DiscoverySettings
{
  core::Duration m_lifetime = std::chrono::seconds(10);
  /// How long the other hosts may take to hear that this one leaves.
  core::Duration m_leaveMargin = std::chrono::seconds(3);
  uint32_t m_answers = 3;
};

/// Answers which addresses callers may use.
struct Discovery
{
  DiscoverySettings m_settings;
  std::string m_host;
  std::shared_ptr<objectstore::Hosts> m_hosts;
  std::shared_ptr<gossip::Gossip> m_gossip;
  std::atomic<uint64_t> m_ticket{ 0 };
  std::atomic<bool> m_leaving{ false };
  std::unique_ptr<kernel::DeadlineTimer> m_drainTimer;
  kernel::Shutdown::Hold m_drainHold;
};

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  DiscoverySettings settings;
  settings.m_lifetime = aReader.MillisecondsOr(
    "lifetime_ms", { 1, kMaxLifetimeMilliseconds }, settings.m_lifetime);
  settings.m_leaveMargin = aReader.MillisecondsOr(
    "leave_margin_ms", { 0, kMaxLifetimeMilliseconds }, settings.m_leaveMargin);
  settings.m_answers = static_cast<uint32_t>(
    aReader.IntegerOr("answers", { 1, kMaxAnswers }, settings.m_answers));
  return settings;
}

std::vector<Candidate>
CandidatesOf(const Discovery& aDiscovery, std::string_view aRole)
{
  std::vector<Candidate> candidates;
  const auto hosts = aDiscovery.m_hosts->Read();
  for (const objectstore::HostEntry& host : *hosts) {
    if (host.m_service != aRole) {
      continue;
    }
    // The list lags; this process knows earlier that it is leaving.
    const bool leaving =
      host.m_leaving || aDiscovery.m_gossip->IsLeaving(host.m_name) ||
      (host.m_name == aDiscovery.m_host && aDiscovery.m_leaving.load());
    candidates.push_back({ host.m_endpoint, host.m_failureDomain, leaving });
  }
  return candidates;
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
AnswerAddresses(std::shared_ptr<Discovery> aDiscovery,
                http::Exchange& aExchange)
{
  const std::string_view target = aExchange.Asked().m_target;
  const std::string_view role =
    http::QueryValue(target, "role").value_or(kDefaultRole);
  const std::string_view domain =
    http::QueryValue(target, "failure_domain").value_or("");
  const std::vector<Candidate> candidates = CandidatesOf(*aDiscovery, role);
  const std::vector<core::Endpoint> endpoints =
    ChooseAddresses(candidates,
                    domain,
                    aDiscovery->m_ticket.fetch_add(1),
                    aDiscovery->m_settings.m_answers);
  http::Answer answer;
  if (endpoints.empty()) {
    answer = http::FailureAnswer(core::NoUpstream{ std::string(role) });
  } else {
    answer.m_head.m_headers.push_back({ "Content-Type", "application/json" });
    answer.m_body = ToJson(endpoints, aDiscovery->m_settings.m_lifetime);
  }
  co_await aExchange.Reply(std::move(answer));
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  auto discovery = std::make_shared<Discovery>();
  discovery->m_settings = std::any_cast<const DiscoverySettings&>(aSettings);
  discovery->m_host = aContext.Self().m_host;
  discovery->m_hosts = aContext.Get<objectstore::Hosts>();
  discovery->m_gossip = aContext.Get<gossip::Gossip>();
  aContext.Provide(discovery);
  aContext.Get<http::Server>()->AddRoute(
    { "GET", "/v1/addresses", [discovery](http::Exchange& aExchange) {
       return AnswerAddresses(discovery, aExchange);
     } });
  return absl::OkStatus();
}

void
Drain(kernel::Context& aContext)
{
  const auto discovery = aContext.Get<Discovery>();
  discovery->m_leaving.store(true);
  discovery->m_drainHold = aContext.Stopping().Acquire();
  std::weak_ptr<Discovery> weak = discovery;
  discovery->m_drainTimer = std::make_unique<kernel::DeadlineTimer>(
    aContext.Control(), [weak] { weak.lock()->m_drainHold.reset(); });
  // Others give this address until they hear; the last such answer lapses a
  // whole lifetime later.
  discovery->m_drainTimer->Set(kernel::Now() +
                               discovery->m_settings.m_leaveMargin +
                               discovery->m_settings.m_lifetime);
}

boost::json::value
Dump(kernel::Context& aContext)
{
  const auto discovery = aContext.Get<Discovery>();
  return { { "answers", discovery->m_ticket.load() },
           { "leaving", discovery->m_leaving.load() } };
}

constexpr std::string_view kNeeds[] = { gossip::kModuleName,
                                        http::kModuleName,
                                        objectstore::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_needs = kNeeds,
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = Drain,
  .m_dump = Dump,
} };

} // namespace

} // namespace heatherdeal::discovery
