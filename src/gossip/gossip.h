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

struct GossipSettings
{
  bool m_enabled = false;
  core::Endpoint m_listen;
  GossipPolicy m_policy;
  protocol::KeyRing m_keys;
  /// Kinds whose changes must not be missed; one host after the other lists
  /// them anew, so that each is listed once in m_refreshInterval.
  std::vector<std::string> m_refreshKinds;
  /// Hosts of this role pass on what they watch; "": nobody is asked.
  std::string m_relayRole;
  /// This host has that role and may be one of those that watch.
  bool m_servesRelay = false;
  core::Duration m_refreshInterval = std::chrono::milliseconds(500);
};

/// Tells the other hosts of this system what this one knows, over UDP.
/// Control thread only, except IsLeaving.
class Gossip : public std::enable_shared_from_this<Gossip>
{
public:
  using VersionListener = std::function<void(const VersionNews&)>;

  Gossip(kernel::Context& aContext, GossipSettings aSettings);

  absl::Status Start();
  void StartLeaving();

  /// A version that the store or a trainer has named here.
  void LearnVersion(const VersionNews& aNews);
  /// Calls back for each version that another host was first to know.
  void SubscribeVersions(VersionListener aListener);
  /// True if the host itself has said that it leaves; any thread.
  bool IsLeaving(std::string_view aHost) const;
  /// True for this host and for those heard of lately that do not leave; any
  /// thread.
  bool IsAlive(std::string_view aHost) const;
  /// The same, whether it leaves or not.
  bool IsHeard(std::string_view aHost) const;
  bool IsEnabled() const { return m_settings.m_enabled; }

  const GossipState& State() const { return m_state; }

private:
  struct Peer
  {
    boost::asio::ip::udp::endpoint m_gossip;
    core::Endpoint m_http;
    std::string m_role;
    core::FailureDomainId m_failureDomain;
  };
  using NameSet = std::map<std::string, bool, std::less<>>;

  void Feed(const GossipEvent& aEvent);
  void Run(const SendDigest& aEffect);
  void Run(const FetchDocument& aEffect);
  void Run(const VersionHeard& aEffect);
  void Run(const KindHeard& aEffect);
  void Run(const LeavingHeard& aEffect);
  void PlanRefresh();
  void ChooseRelays();
  /// The hosts that watch the store for those of the relaying role; none if
  /// this host is one of them.
  std::vector<core::Endpoint> Watchers() const;
  /// Hosts of a role, or of any, those of the own failure domain first.
  std::vector<core::Endpoint> AliveHosts(std::string_view aRole) const;
  void SetHosts(std::span<const objectstore::HostEntry> aHosts);
  void PublishHeard();
  void Receive();
  void Accept(std::span<const std::byte> aFrame);

  kernel::Context& m_context;
  GossipSettings m_settings;
  GossipState m_state;
  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::udp::endpoint m_sender;
  std::array<std::byte, protocol::kMaxFrameBytes + 1> m_buffer{};
  kernel::DeadlineTimer m_timer;
  kernel::DeadlineTimer m_refresh;
  std::map<std::string, Peer> m_peers;
  std::vector<VersionListener> m_listeners;
  kernel::Published<NameSet> m_leaving;
  /// Other hosts by whether they have been heard of lately.
  kernel::Published<NameSet> m_heard;
  /// Generation that is being fetched, so that it is fetched once.
  uint64_t m_fetching = 0;
};

} // namespace heatherdeal::gossip
