#include "gossip/gossip.h"

#include "boost/asio/buffer.hpp"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"

#include "configuration/configurationmodule.h"
#include "core/rendezvous.h"
#include "gossip/internal/digestcodec.h"
#include "http/client.h"
#include "kernel/eventlog.h"
#include "objectstore/objectstore.h"

namespace heatherdeal::gossip {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr size_t kFetchLoopIndex = 0;
// Number of hosts of the relay role that watch the store directly.
constexpr size_t kStoreWatcherCount = 2;
constexpr uint32_t kHttpOk = 200;
constexpr core::Duration kFetchTimeout = std::chrono::seconds(2);
constexpr core::Duration kNewsInterval = std::chrono::milliseconds(50);
// Of a topic message: its name, and the lengths of name and payload.
constexpr size_t kTopicOverheadBytes = kMaxNameBytes + 4;

/// Fetches the configuration of a peer on a traffic thread. Offers it to this
/// host and calls aOnDone on the control thread.
asio::awaitable<void>
FetchFromPeer(kernel::Context& aContext,
              core::Endpoint aPeer,
              std::function<void()> aOnDone)
{
  http::Request request;
  request.m_target = configuration::kDocumentForHostsTarget;
  http::Client& client =
    aContext.Get<http::Clients>()->ForLoop(kFetchLoopIndex);
  const absl::StatusOr<http::Response> response =
    co_await client.Call(aPeer,
                         std::move(request),
                         http::Reuse::Allowed,
                         kernel::Now() + kFetchTimeout);
  std::string document;
  if (response.ok() && response->m_head.m_status == kHttpOk) {
    document = response->m_body;
  }
  aContext.Control().Post([&aContext, document, aOnDone] {
    if (!document.empty()) {
      aContext.Get<configuration::ActiveConfiguration>()->ApplyIfNewer(
        document);
    }
    aOnDone();
  });
}

} // namespace

Gossip::Gossip(kernel::Context& aContext, GossipSettings aSettings)
  : m_context(aContext)
  , m_settings(std::move(aSettings))
  , m_socket(aContext.Control().EventLoop())
  , m_roundTimer(aContext.Control(), [this] { HandleEvent(RoundDue{}); })
  , m_refreshTimer(aContext.Control(),
                   [this] {
                     const auto store =
                       m_context.Get<objectstore::ObjectStore>();
                     for (const std::string& kind : m_settings.m_refreshKinds) {
                       store->RelistIfOlderThan(kind, UINT64_MAX);
                     }
                     ScheduleRefresh();
                   })
  , m_newsTimer(aContext.Control(), [this] {
    m_nextNewsAt = kernel::Now() + kNewsInterval;
    HandleEvent(NewsAvailable{});
  })
{
  m_state.m_policy = m_settings.m_policy;
  m_state.m_self.m_host = aContext.Self().m_host;
  // The wall time is higher than the incarnation before a restart, so that
  // peers accept the new state at once. If the clock was set back, the host
  // raises its incarnation when it receives its old state.
  m_state.m_self.m_incarnation =
    static_cast<uint64_t>(kernel::UnixMilliseconds());
  m_state.m_random.seed(std::hash<std::string>()(aContext.Self().m_host));
}

absl::Status
Gossip::Start()
{
  const auto self = shared_from_this();
  m_context.Get<configuration::ActiveConfiguration>()->Subscribe(
    [self](const configuration::Document& aDocument) {
      self->HandleEvent(GenerationActivated{ aDocument.m_generation });
    });
  if (!m_settings.m_enabled) {
    return absl::OkStatus();
  }
  boost::system::error_code error;
  const auto address =
    asio::ip::make_address(m_settings.m_listenEndpoint.m_address, error);
  const udp::endpoint endpoint(address, m_settings.m_listenEndpoint.m_port);
  if (!error) {
    m_socket.open(endpoint.protocol(), error);
  }
  if (!error) {
    m_socket.bind(endpoint, error);
  }
  if (error) {
    return core::ToStatus(core::ConnectionFailed{
      http::ToText(m_settings.m_listenEndpoint) + " " + error.message(),
      core::Executed::No });
  }
  m_context.Get<objectstore::Hosts>()->Subscribe(
    [self](std::span<const objectstore::HostEntry> aHosts) {
      self->SetHosts(aHosts);
    });
  m_context.Get<objectstore::ObjectStore>()->SubscribeMissedChanges(
    [self](std::string_view aKind, uint64_t aRevision) {
      self->HandleEvent(
        MissedChangesDetected{ { std::string(aKind), aRevision } });
    });
  ReceiveNext();
  HandleEvent(RoundDue{});
  ScheduleRefresh();
  return absl::OkStatus();
}

void
Gossip::StartLeaving()
{
  HandleEvent(LeavingStarted{});
}

void
Gossip::AnnounceVersion(const VersionUpdate& aUpdate)
{
  HandleEvent(VersionLearned{ aUpdate });
}

void
Gossip::SubscribeVersions(VersionListener aListener)
{
  m_versionListeners.push_back(std::move(aListener));
}

void
Gossip::AddTopic(Topic aTopic)
{
  m_topics.push_back(std::move(aTopic));
}

void
Gossip::SpreadNews()
{
  if (m_settings.m_enabled) {
    m_newsTimer.Set(std::max(m_nextNewsAt, kernel::Now()));
  }
}

std::vector<TopicMessage>
Gossip::ComposeTopicMessages(const Digest& aDigest)
{
  std::vector<TopicMessage> messages;
  const size_t usedBytes = Encode(aDigest).size() + protocol::kFrameHeaderBytes;
  size_t freeBytes =
    protocol::kMaxFrameBytes - std::min(usedBytes, protocol::kMaxFrameBytes);
  for (const Topic& topic : m_topics) {
    if (freeBytes <= kTopicOverheadBytes) {
      break;
    }
    const size_t maxBytes =
      std::min(kMaxTopicBytes, freeBytes - kTopicOverheadBytes);
    std::string payload = topic.m_compose(maxBytes);
    if (!payload.empty()) {
      freeBytes -= payload.size() + kTopicOverheadBytes;
      messages.push_back({ topic.m_name, std::move(payload) });
    }
  }
  return messages;
}

void
Gossip::AttachTopicMessages(std::span<GossipEffect> aEffects)
{
  std::optional<std::vector<TopicMessage>> messages;
  for (GossipEffect& effect : aEffects) {
    if (auto* send = std::get_if<SendDigest>(&effect)) {
      if (!messages) {
        messages = ComposeTopicMessages(send->m_digest);
      }
      send->m_digest.m_topicMessages = *messages;
    }
  }
}

void
Gossip::ReceiveTopicMessages(std::span<const TopicMessage> aMessages)
{
  for (const TopicMessage& message : aMessages) {
    const auto topic =
      std::ranges::find(m_topics, message.m_topic, &Topic::m_name);
    if (topic != m_topics.end()) {
      topic->m_receive(message.m_payload);
    }
  }
}

bool
Gossip::IsLeaving(std::string_view aHost) const
{
  const auto leaving = m_leavingHosts.Read();
  const auto found = leaving->find(aHost);
  return found != leaving->end() && found->second;
}

bool
Gossip::IsAvailable(std::string_view aHost) const
{
  if (aHost == m_context.Self().m_host) {
    return !m_context.ProcessShutdown().IsRequested();
  }
  return IsRecentlyHeard(aHost) && !IsLeaving(aHost);
}

bool
Gossip::IsRecentlyHeard(std::string_view aHost) const
{
  if (aHost == m_context.Self().m_host) {
    return true;
  }
  const auto recentlyHeard = m_recentlyHeard.Read();
  const auto found = recentlyHeard->find(aHost);
  return found != recentlyHeard->end() && found->second;
}

void
Gossip::PublishRecentlyHeard()
{
  HostFlags recentlyHeard;
  const core::Instant now = kernel::Now();
  for (const auto& [name, member] : m_state.m_members) {
    recentlyHeard[name] = !IsSuspect(m_state, name, now);
  }
  const auto previous = m_recentlyHeard.Read();
  if (*previous == recentlyHeard) {
    return;
  }
  for (const auto& [name, isRecentlyHeard] : recentlyHeard) {
    const auto previousEntry = previous->find(name);
    const bool wasRecentlyHeard =
      previousEntry != previous->end() && previousEntry->second;
    if (wasRecentlyHeard != isRecentlyHeard) {
      const Member& member = m_state.m_members.at(name);
      kernel::LogEvent(
        kernel::LogLevel::Info,
        "gossip",
        isRecentlyHeard ? "host-heard" : "host-lost",
        { { "host", name },
          { "leaving", member.m_hostStatus.m_leaving },
          { "heard_ms_ago", kernel::Milliseconds(now - member.m_updatedAt) } });
    }
  }
  m_recentlyHeard.Publish(std::move(recentlyHeard));
  UpdateRelays();
}

std::vector<core::Endpoint>
Gossip::AvailableHosts(std::string_view aRole) const
{
  const std::string& ownDomain = m_context.Self().m_failureDomain;
  std::vector<core::Endpoint> local;
  std::vector<core::Endpoint> remote;
  for (const auto& [name, peer] : m_peers) {
    const bool hasRole = aRole.empty() || peer.m_role == aRole;
    if (hasRole && IsAvailable(name)) {
      const bool isLocal = peer.m_failureDomain.m_value == ownDomain;
      (isLocal ? local : remote).push_back(peer.m_httpEndpoint);
    }
  }
  // Start at an index that depends on this host, to distribute hosts that have
  // no peer in their own failure domain over the remote ones.
  if (!remote.empty()) {
    const size_t rotation =
      std::hash<std::string>()(m_context.Self().m_host) % remote.size();
    std::rotate(remote.begin(),
                remote.begin() + static_cast<std::ptrdiff_t>(rotation),
                remote.end());
  }
  local.insert(local.end(), remote.begin(), remote.end());
  return local;
}

std::vector<core::Endpoint>
Gossip::StoreWatchers() const
{
  const std::string& self = m_context.Self().m_host;
  std::vector<std::string> hosts{ self };
  for (const auto& [name, peer] : m_peers) {
    if (peer.m_role == m_settings.m_relayRole && IsAvailable(name)) {
      hosts.push_back(name);
    }
  }
  hosts = core::RankHosts(hosts, m_settings.m_relayRole);
  hosts.resize(std::min(hosts.size(), kStoreWatcherCount));
  std::vector<core::Endpoint> watchers;
  for (const std::string& name : hosts) {
    if (name == self) {
      return {};
    }
    watchers.push_back(m_peers.at(name).m_httpEndpoint);
  }
  return watchers;
}

void
Gossip::UpdateRelays()
{
  const auto store = m_context.Get<objectstore::ObjectStore>();
  store->SetCallRelays(AvailableHosts(""));
  if (m_settings.m_relayRole.empty()) {
    return;
  }
  // Two hosts of the relay role watch the store, other hosts of the role use
  // these as relays, and all other hosts use any host of the role. This order
  // prevents cycles.
  store->SetWatchRelays(m_settings.m_servesRelay
                          ? StoreWatchers()
                          : AvailableHosts(m_settings.m_relayRole));
}

void
Gossip::SetHosts(std::span<const objectstore::HostEntry> aHosts)
{
  PeersChanged event;
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
    event.m_hosts.push_back(host.m_name);
    if (host.m_failureDomain.m_value == m_context.Self().m_failureDomain) {
      event.m_localHosts.insert(host.m_name);
    }
    if (m_settings.m_servesRelay && host.m_service == m_settings.m_relayRole) {
      event.m_watchGroup.insert(host.m_name);
    }
  }
  HandleEvent(event);
  UpdateRelays();
}

void
Gossip::HandleEvent(const GossipEvent& aEvent)
{
  std::vector<GossipEffect> effects;
  Apply(m_state, aEvent, kernel::Now(), effects);
  AttachTopicMessages(effects);
  for (const GossipEffect& effect : effects) {
    std::visit([this](const auto& aTyped) { Execute(aTyped); }, effect);
  }
  PublishRecentlyHeard();
  if (m_settings.m_enabled) {
    m_roundTimer.Set(std::max(NextDeadline(m_state), kernel::Now()));
  }
}

void
Gossip::Execute(const SendDigest& aEffect)
{
  const auto peer = m_peers.find(aEffect.m_peer);
  if (peer == m_peers.end() || !m_socket.is_open()) {
    return;
  }
  const std::vector<std::byte> frame =
    protocol::EncodeFrame(m_settings.m_keys, Encode(aEffect.m_digest));
  boost::system::error_code error;
  m_socket.send_to(asio::buffer(frame.data(), frame.size()),
                   peer->second.m_gossipEndpoint,
                   0,
                   error);
  m_context.Metrics().Get("gossip.sent").Add();
  m_context.Metrics().Get("gossip.sent_bytes").Add(frame.size());
}

void
Gossip::Execute(const FetchConfiguration& aEffect)
{
  const auto peer = m_peers.find(aEffect.m_peer);
  if (peer == m_peers.end() || aEffect.m_generation <= m_fetchingGeneration) {
    return;
  }
  m_fetchingGeneration = aEffect.m_generation;
  m_context.Metrics().Get("gossip.documents_fetched").Add();
  asio::co_spawn(m_context.Traffic().Loop(kFetchLoopIndex),
                 FetchFromPeer(m_context,
                               peer->second.m_httpEndpoint,
                               [self = shared_from_this()] {
                                 self->m_fetchingGeneration = 0;
                               }),
                 asio::detached);
}

void
Gossip::Execute(const NotifyVersion& aEffect)
{
  for (const VersionListener& listener : m_versionListeners) {
    listener(aEffect.m_update);
  }
}

void
Gossip::Execute(const RelistKind& aEffect)
{
  m_context.Get<objectstore::ObjectStore>()->RelistIfOlderThan(
    aEffect.m_changes.m_kind, aEffect.m_changes.m_revision);
}

void
Gossip::ScheduleRefresh()
{
  if (m_settings.m_refreshKinds.empty()) {
    return;
  }
  // Only hosts that watch the store relist; the others learn of missed changes
  // through gossip. The hosts choose their times independently, and each waits
  // kStoreWatcherCount intervals on average, so that together they relist about
  // once per interval.
  const core::Duration meanInterval =
    m_settings.m_refreshInterval * static_cast<int64_t>(kStoreWatcherCount);
  const auto jitter = static_cast<int64_t>(m_state.m_random() % 1000) *
                      meanInterval.count() / 1000;
  m_refreshTimer.Set(kernel::Now() + meanInterval / 2 + core::Duration(jitter));
}

void
Gossip::Execute(const SetHostLeaving& aEffect)
{
  HostFlags leaving = *m_leavingHosts.Read();
  leaving[aEffect.m_host] = aEffect.m_leaving;
  m_leavingHosts.Publish(std::move(leaving));
  UpdateRelays();
}

void
Gossip::ReceiveNext()
{
  m_socket.async_receive_from(
    asio::buffer(m_receiveBuffer.data(), m_receiveBuffer.size()),
    m_senderEndpoint,
    [self = shared_from_this()](boost::system::error_code aError,
                                size_t aBytes) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        self->HandleFrame(std::span(self->m_receiveBuffer).first(aBytes));
      }
      self->ReceiveNext();
    });
}

void
Gossip::HandleFrame(std::span<const std::byte> aFrame)
{
  const auto payload = protocol::DecodeFrame(m_settings.m_keys, aFrame);
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
  ReceiveTopicMessages(digest->m_topicMessages);
  HandleEvent(DigestReceived{ *std::move(digest) });
}

} // namespace heatherdeal::gossip
