#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>

#include "boost/asio/ip/udp.hpp"

#include "configuration/activeconfiguration.h"
#include "gossip/members.h"
#include "kernel/context.h"
#include "kernel/deadlinetimer.h"
#include "kernel/published.h"
#include "objectstore/hosts.h"
#include "protocol/frame.h"

namespace heatherdeal::gossip {

/// Settings of the gossip plug-in.
struct GossipSettings
{
  bool m_enabled = false;
  core::Endpoint m_listenEndpoint;
  GossipPolicy m_policy;
  protocol::KeyRing m_keys;
  /// Object kinds that hosts relist periodically to find changes that watches
  /// missed. The hosts that watch the store choose their times independently,
  /// so that together they relist each kind about once per m_refreshInterval.
  std::vector<std::string> m_refreshKinds;
  /// Role of the hosts that relay watches to others; empty if watches are not
  /// relayed.
  std::string m_relayRole;
  /// True if this host has the relay role and may watch the store directly.
  bool m_servesRelay = false;
  core::Duration m_refreshInterval = std::chrono::milliseconds(500);
};

/// What a plug-in exchanges with its peers on other hosts within the digests.
/// The functions are called on the control thread.
struct Topic
{
  std::string m_name;
  /// Returns the message for the next digests, of at most aMaxBytes, or "".
  std::function<std::string(size_t aMaxBytes)> m_compose;
  std::function<void(std::string_view aPayload)> m_receive;
};

/// Exchanges membership, configuration generations, weight versions and missed
/// changes with the other hosts of this system over UDP. May be used on the
/// control thread only, except where a function allows any thread.
class Gossip : public std::enable_shared_from_this<Gossip>
{
public:
  using VersionListener = std::function<void(const VersionUpdate&)>;

  Gossip(kernel::Context& aContext, GossipSettings aSettings);

  /// Opens the UDP socket and starts the gossip rounds. Returns
  /// ConnectionFailed if the socket cannot be bound. Without m_enabled it only
  /// tracks the generation of the active configuration.
  absl::Status Start();
  /// Announces to the other hosts that this host leaves.
  void StartLeaving();

  /// Sends a version that the store or a trainer reported to this host to the
  /// other hosts.
  void AnnounceVersion(const VersionUpdate& aUpdate);
  /// Registers a callback for new versions that arrive from other hosts.
  void SubscribeVersions(VersionListener aListener);
  /// Adds a topic to all digests from now on.
  void AddTopic(Topic aTopic);
  /// Sends digests before the next round, because a topic has urgent news.
  /// Calls in quick succession result in one.
  void SpreadNews();
  /// Returns true if the host has announced that it leaves. Any thread.
  bool IsLeaving(std::string_view aHost) const;
  /// Returns true if the host is not suspected and does not leave. For this
  /// host, returns true until shutdown is requested. Any thread.
  bool IsAvailable(std::string_view aHost) const;
  /// Returns true if the host is known and not suspected, even if it leaves.
  /// Always true for this host. Any thread.
  bool IsRecentlyHeard(std::string_view aHost) const;
  /// Any thread.
  bool IsEnabled() const { return m_settings.m_enabled; }

  const GossipState& State() const { return m_state; }

private:
  struct Peer
  {
    boost::asio::ip::udp::endpoint m_gossipEndpoint;
    core::Endpoint m_httpEndpoint;
    std::string m_role;
    core::FailureDomainId m_failureDomain;
  };
  using HostFlags = std::map<std::string, bool, std::less<>>;

  /// Returns the messages of the topics, as far as a frame with the digest has
  /// room.
  std::vector<TopicMessage> ComposeTopicMessages(const Digest& aDigest);
  /// Adds the messages of the topics to all digests that are to be sent.
  void AttachTopicMessages(std::span<GossipEffect> aEffects);
  void ReceiveTopicMessages(std::span<const TopicMessage> aMessages);
  /// Applies an event to the state and executes the resulting effects.
  void HandleEvent(const GossipEvent& aEvent);
  void Execute(const SendDigest& aEffect);
  void Execute(const FetchConfiguration& aEffect);
  void Execute(const NotifyVersion& aEffect);
  void Execute(const RelistKind& aEffect);
  void Execute(const SetHostLeaving& aEffect);
  /// Schedules the next relist of m_refreshKinds with random jitter.
  void ScheduleRefresh();
  /// Passes the available peers and relays to the object store.
  void UpdateRelays();
  /// Returns the hosts of the relay role that watch the store directly, or an
  /// empty list if this host is one of them.
  std::vector<core::Endpoint> StoreWatchers() const;
  /// Returns the available hosts of a role, or of all roles if aRole is empty.
  /// Hosts in the failure domain of this host come first.
  std::vector<core::Endpoint> AvailableHosts(std::string_view aRole) const;
  void SetHosts(std::span<const objectstore::HostEntry> aHosts);
  /// Publishes which hosts are not suspected, and logs changes.
  void PublishRecentlyHeard();
  /// Waits for the next datagram.
  void ReceiveNext();
  void HandleFrame(std::span<const std::byte> aFrame);

  kernel::Context& m_context;
  GossipSettings m_settings;
  GossipState m_state;
  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::udp::endpoint m_senderEndpoint;
  std::array<std::byte, protocol::kMaxFrameBytes + 1> m_receiveBuffer{};
  kernel::DeadlineTimer m_roundTimer;
  kernel::DeadlineTimer m_refreshTimer;
  kernel::DeadlineTimer m_newsTimer;
  /// No news are spread before this time.
  core::Instant m_nextNewsAt{};
  std::vector<Topic> m_topics;
  std::map<std::string, Peer> m_peers;
  std::vector<VersionListener> m_versionListeners;
  /// True for hosts that have announced that they leave.
  kernel::Published<HostFlags> m_leavingHosts;
  /// Known hosts; true for those that are not suspected.
  kernel::Published<HostFlags> m_recentlyHeard;
  /// Generation whose fetch is in flight, or 0. Prevents duplicate fetches.
  uint64_t m_fetchingGeneration = 0;
};

} // namespace heatherdeal::gossip
