#include "gossip/gossip.h"

#include "boost/asio/buffer.hpp"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"

#include "core/rendezvous.h"
#include "gossip/internal/digestcodec.h"
#include "http/client.h"
#include "kernel/eventlog.h"
#include "objectstore/objectstore.h"

namespace heatherdeal::gossip {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr size_t kLoopIndex = 0;
// Hosts of the relaying role that watch the store themselves.
constexpr size_t kWatchers = 2;
constexpr uint32_t kOk = 200;
constexpr core::Duration kFetchTime = std::chrono::seconds(2);

asio::awaitable<void>
Fetch(kernel::Context& aContext,
      core::Endpoint aPeer,
      std::function<void()> aDone)
{
  http::Request request;
  request.m_target = "/v1/configuration";
  http::Client& client = aContext.Get<http::Clients>()->For(kLoopIndex);
  const absl::StatusOr<http::Answer> answer =
    co_await client.Call(aPeer,
                         std::move(request),
                         http::Reuse::Allowed,
                         kernel::Now() + kFetchTime);
  std::string text;
  if (answer.ok() && answer->m_head.m_status == kOk) {
    text = answer->m_body;
  }
  aContext.Control().Post([&aContext, text, aDone] {
    if (!text.empty()) {
      aContext.Get<configuration::ActiveConfiguration>()->ApplyIfNewer(text);
    }
    aDone();
  });
}

} // namespace

Gossip::Gossip(kernel::Context& aContext, GossipSettings aSettings)
  : m_context(aContext)
  , m_settings(std::move(aSettings))
  , m_socket(aContext.Control().Context())
  , m_timer(aContext.Control(), [this] { Feed(RoundDue{}); })
  , m_refresh(aContext.Control(), [this] {
    const auto store = m_context.Get<objectstore::ObjectStore>();
    for (const std::string& kind : m_settings.m_refreshKinds) {
      store->RelistIfOlderThan(kind, UINT64_MAX);
    }
    PlanRefresh();
  })
{
  m_state.m_policy = m_settings.m_policy;
  m_state.m_self.m_host = aContext.Self().m_host;
  const auto wallTime = std::chrono::system_clock::now().time_since_epoch();
  // Higher than in earlier lives of this host, so that its news is taken at
  // once; gossip corrects it where clocks went back.
  m_state.m_self.m_incarnation = static_cast<uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(wallTime).count());
  m_state.m_random.seed(std::hash<std::string>()(aContext.Self().m_host));
}

absl::Status
Gossip::Start()
{
  const auto self = shared_from_this();
  m_context.Get<configuration::ActiveConfiguration>()->Subscribe(
    [self](const configuration::Document& aDocument) {
      self->Feed(GenerationInForce{ aDocument.m_generation });
    });
  if (!m_settings.m_enabled) {
    return absl::OkStatus();
  }
  boost::system::error_code error;
  const auto address =
    asio::ip::make_address(m_settings.m_listen.m_address, error);
  const udp::endpoint endpoint(address, m_settings.m_listen.m_port);
  if (!error) {
    m_socket.open(endpoint.protocol(), error);
  }
  if (!error) {
    m_socket.bind(endpoint, error);
  }
  if (error) {
    return core::ToStatus(core::ConnectionFailed{
      http::ToText(m_settings.m_listen) + " " + error.message(),
      core::Executed::No });
  }
  m_context.Get<objectstore::Hosts>()->Subscribe(
    [self](std::span<const objectstore::HostEntry> aHosts) {
      self->SetHosts(aHosts);
    });
  m_context.Get<objectstore::ObjectStore>()->SubscribeMissedChanges(
    [self](std::string_view aKind, uint64_t aRevision) {
      self->Feed(ChangesMissed{ { std::string(aKind), aRevision } });
    });
  Receive();
  Feed(RoundDue{});
  PlanRefresh();
  return absl::OkStatus();
}

void
Gossip::StartLeaving()
{
  Feed(LeavingStarted{});
}

void
Gossip::LearnVersion(const VersionNews& aNews)
{
  Feed(VersionLearned{ aNews });
}

void
Gossip::SubscribeVersions(VersionListener aListener)
{
  m_listeners.push_back(std::move(aListener));
}

bool
Gossip::IsLeaving(std::string_view aHost) const
{
  const auto leaving = m_leaving.Read();
  const auto found = leaving->find(aHost);
  return found != leaving->end() && found->second;
}

bool
Gossip::IsAlive(std::string_view aHost) const
{
  if (aHost == m_context.Self().m_host) {
    return !m_context.Stopping().IsRequested();
  }
  return IsHeard(aHost) && !IsLeaving(aHost);
}

bool
Gossip::IsHeard(std::string_view aHost) const
{
  if (aHost == m_context.Self().m_host) {
    return true;
  }
  const auto heard = m_heard.Read();
  const auto found = heard->find(aHost);
  return found != heard->end() && found->second;
}

void
Gossip::PublishHeard()
{
  NameSet heard;
  const core::Instant now = kernel::Now();
  for (const auto& [name, member] : m_state.m_members) {
    heard[name] = !IsSuspect(m_state, name, now);
  }
  const auto known = m_heard.Read();
  if (*known == heard) {
    return;
  }
  for (const auto& [name, isHeard] : heard) {
    const auto before = known->find(name);
    const bool wasHeard = before != known->end() && before->second;
    if (wasHeard != isHeard) {
      const Member& member = m_state.m_members.at(name);
      kernel::LogEvent(
        kernel::LogLevel::Info,
        "gossip",
        isHeard ? "host-heard" : "host-lost",
        { { "host", name },
          { "leaving", member.m_news.m_leaving },
          { "heard_ms_ago", kernel::Milliseconds(now - member.m_heardAt) } });
    }
  }
  m_heard.Publish(std::move(heard));
  ChooseRelays();
}

std::vector<core::Endpoint>
Gossip::AliveHosts(std::string_view aRole) const
{
  const std::string& own = m_context.Self().m_failureDomain;
  std::vector<core::Endpoint> near;
  std::vector<core::Endpoint> far;
  for (const auto& [name, peer] : m_peers) {
    const bool wanted = aRole.empty() || peer.m_role == aRole;
    if (wanted && IsAlive(name)) {
      const bool isNear = peer.m_failureDomain.m_value == own;
      (isNear ? near : far).push_back(peer.m_http);
    }
  }
  // Hosts without one of their own domain spread over the others.
  if (!far.empty()) {
    const size_t first =
      std::hash<std::string>()(m_context.Self().m_host) % far.size();
    std::rotate(
      far.begin(), far.begin() + static_cast<std::ptrdiff_t>(first), far.end());
  }
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

std::vector<core::Endpoint>
Gossip::Watchers() const
{
  const std::string& self = m_context.Self().m_host;
  std::vector<std::string> hosts{ self };
  for (const auto& [name, peer] : m_peers) {
    if (peer.m_role == m_settings.m_relayRole && IsAlive(name)) {
      hosts.push_back(name);
    }
  }
  hosts = core::RankHosts(hosts, m_settings.m_relayRole);
  hosts.resize(std::min(hosts.size(), kWatchers));
  std::vector<core::Endpoint> watchers;
  for (const std::string& name : hosts) {
    if (name == self) {
      return {};
    }
    watchers.push_back(m_peers.at(name).m_http);
  }
  return watchers;
}

void
Gossip::ChooseRelays()
{
  const auto store = m_context.Get<objectstore::ObjectStore>();
  store->SetCallRelays(AliveHosts(""));
  if (m_settings.m_relayRole.empty()) {
    return;
  }
  // Two hosts of the role watch, its others follow these, all else follows
  // any host of the role: nobody follows in a circle.
  store->SetWatchRelays(
    m_settings.m_servesRelay ? Watchers() : AliveHosts(m_settings.m_relayRole));
}

void
Gossip::SetHosts(std::span<const objectstore::HostEntry> aHosts)
{
  PeersListed listed;
  m_peers.clear();
  for (const objectstore::HostEntry& host : aHosts) {
    if (host.m_gossipPort == 0) {
      continue;
    }
    boost::system::error_code error;
    const auto address =
      asio::ip::make_address(host.m_endpoint.m_address, error);
    if (error) {
      continue;
    }
    m_peers[host.m_name] = { udp::endpoint(address, host.m_gossipPort),
                             host.m_endpoint,
                             host.m_service,
                             host.m_failureDomain };
    listed.m_hosts.push_back(host.m_name);
  }
  Feed(listed);
  ChooseRelays();
}

void
Gossip::Feed(const GossipEvent& aEvent)
{
  std::vector<GossipEffect> effects;
  Apply(m_state, aEvent, kernel::Now(), effects);
  for (const GossipEffect& effect : effects) {
    std::visit([this](const auto& aTyped) { Run(aTyped); }, effect);
  }
  PublishHeard();
  if (m_settings.m_enabled) {
    m_timer.Set(std::max(NextDeadline(m_state), kernel::Now()));
  }
}

void
Gossip::Run(const SendDigest& aEffect)
{
  const auto peer = m_peers.find(aEffect.m_peer);
  if (peer == m_peers.end() || !m_socket.is_open()) {
    return;
  }
  const std::vector<std::byte> frame =
    protocol::Seal(m_settings.m_keys, Encode(aEffect.m_digest));
  boost::system::error_code error;
  m_socket.send_to(
    asio::buffer(frame.data(), frame.size()), peer->second.m_gossip, 0, error);
  m_context.Metrics().Get("gossip.sent").Add();
  m_context.Metrics().Get("gossip.sent_bytes").Add(frame.size());
}

void
Gossip::Run(const FetchDocument& aEffect)
{
  const auto peer = m_peers.find(aEffect.m_peer);
  if (peer == m_peers.end() || aEffect.m_generation <= m_fetching) {
    return;
  }
  m_fetching = aEffect.m_generation;
  m_context.Metrics().Get("gossip.documents_fetched").Add();
  asio::co_spawn(m_context.Traffic().Loop(kLoopIndex),
                 Fetch(m_context,
                       peer->second.m_http,
                       [self = shared_from_this()] { self->m_fetching = 0; }),
                 asio::detached);
}

void
Gossip::Run(const VersionHeard& aEffect)
{
  for (const VersionListener& listener : m_listeners) {
    listener(aEffect.m_news);
  }
}

void
Gossip::Run(const KindHeard& aEffect)
{
  m_context.Get<objectstore::ObjectStore>()->RelistIfOlderThan(
    aEffect.m_news.m_kind, aEffect.m_news.m_revision);
}

void
Gossip::PlanRefresh()
{
  if (m_settings.m_refreshKinds.empty()) {
    return;
  }
  // Those that watch take turns; the others hear of it from them.

  // Hosts draw their times apart from each other; together they list once in
  // each interval.
  const core::Duration mean =
    m_settings.m_refreshInterval * static_cast<int64_t>(kWatchers);
  const auto jitter =
    static_cast<int64_t>(m_state.m_random() % 1000) * mean.count() / 1000;
  m_refresh.Set(kernel::Now() + mean / 2 + core::Duration(jitter));
}

void
Gossip::Run(const LeavingHeard& aEffect)
{
  NameSet leaving = *m_leaving.Read();
  leaving[aEffect.m_host] = aEffect.m_leaving;
  m_leaving.Publish(std::move(leaving));
  ChooseRelays();
}

void
Gossip::Receive()
{
  m_socket.async_receive_from(
    asio::buffer(m_buffer.data(), m_buffer.size()),
    m_sender,
    [self = shared_from_this()](boost::system::error_code aError,
                                size_t aBytes) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        self->Accept(std::span(self->m_buffer).first(aBytes));
      }
      self->Receive();
    });
}

void
Gossip::Accept(std::span<const std::byte> aFrame)
{
  const auto payload = protocol::Open(m_settings.m_keys, aFrame);
  if (!payload.ok()) {
    m_context.Metrics().Get("gossip.refused_frames").Add();
    return;
  }
  absl::StatusOr<Digest> digest = Decode(*payload);
  if (!digest.ok()) {
    m_context.Metrics().Get("gossip.invalid_digests").Add();
    return;
  }
  m_context.Metrics().Get("gossip.received").Add();
  Feed(DigestReceived{ *std::move(digest) });
}

} // namespace heatherdeal::gossip
