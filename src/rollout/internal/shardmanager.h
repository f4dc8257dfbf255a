#pragma once

#include <map>
#include <memory>

#include "boost/json/value.hpp"

#include "configuration/activeconfiguration.h"
#include "gossip/gossip.h"
#include "http/exchange.h"
#include "rollout/internal/shardowner.h"

namespace heatherdeal::rollout {

/// Holds the settings of the plug-in.
struct RolloutSettings
{
  lease::LeasePolicy m_leasePolicy;
  /// How long a shutdown waits for groups in progress before it releases the
  /// leases.
  core::Duration m_drainTimeout = std::chrono::seconds(5);
};

/// Manages every shard that this process may own. Used on the control thread
/// only, except for ServePull.
class ShardManager : public std::enable_shared_from_this<ShardManager>
{
public:
  ShardManager(kernel::Context& aContext, const RolloutSettings& aSettings);

  /// Registers the pull route and subscribes to its inputs.
  void Start();
  /// Starts no new groups and releases the leases once the drain timeout has
  /// passed, or at once if no groups are in progress or ready.
  void StartDrain();

  /// Serves POST /v1/pull on the traffic threads.
  boost::asio::awaitable<void> ServePull(http::Exchange& aExchange);

  /// Returns the state of each shard as JSON, by "JOB/INDEX".
  boost::json::value Dump() const;

private:
  void ApplyConfiguration(const configuration::Document& aDocument);
  /// Creates an owner for each shard of a new job.
  void AddJob(const configuration::Job& aJob);
  /// Competes for the leases for which this host is a candidate and withdraws
  /// from all others.
  void UpdateCandidacy();
  std::vector<std::string> ListLiveHosts() const;
  std::shared_ptr<ShardOwner> MakeOwner(const configuration::Job& aJob,
                                        uint32_t aIndex);
  void UpdateEngines();
  void UpdateEngines(ShardOwner& aOwner);
  void UpdateNewestVersions(
    std::span<const objectstore::StoredObject> aObjects);
  void UpdateNewestVersion(const gossip::VersionUpdate& aUpdate);
  /// Passes the version in a trainer's pull on to the other hosts by gossip.
  void GossipTrainerVersion(const ShardMessage& aMessage);
  void HandleMessages(std::span<ShardMessage> aMessages);
  void ResignAllLeases();
  /// Returns how many concurrent streams one shard of the job may run on an
  /// engine.
  uint32_t ComputeSlotsPerShard(const configuration::Job& aJob,
                                const objectstore::HostEntry& aHost) const;

  kernel::Context& m_context;
  RolloutSettings m_settings;
  ShardServices m_services;
  std::map<core::ShardId, std::shared_ptr<ShardOwner>> m_owners;
  std::map<std::string, core::WeightVersion, std::less<>> m_newestVersions;
  std::map<core::JobId, std::shared_ptr<const PromptList>> m_prompts;
  kernel::DeadlineTimer m_candidacyTimer;
  kernel::DeadlineTimer m_drainTimer;
  kernel::DeadlineTimer m_leaseReleaseTimer;
  kernel::Shutdown::Hold m_shutdownHold;
};

} // namespace heatherdeal::rollout
