#pragma once

#include <map>
#include <memory>

#include "boost/json/value.hpp"

#include "configuration/activeconfiguration.h"
#include "gossip/gossip.h"
#include "http/exchange.h"
#include "rollout/internal/shardowner.h"

namespace heatherdeal::rollout {

/// Settings of the plug-in.
struct RolloutSettings
{
  lease::LeasePolicy m_lease;
  /// How long a shutdown waits for groups in work before it hands over.
  core::Duration m_drainTime = std::chrono::seconds(5);
};

/// Every shard that this process may own. Control thread only, except Pull.
class Shards : public std::enable_shared_from_this<Shards>
{
public:
  Shards(kernel::Context& aContext, const RolloutSettings& aSettings);

  void Start();
  void StartDrain();

  /// Serves POST /v1/pull; traffic threads.
  boost::asio::awaitable<void> Pull(http::Exchange& aExchange);

  boost::json::value Dump() const;

private:
  void SetDocument(const configuration::Document& aDocument);
  void AddJob(const configuration::Job& aJob);
  /// Follows the leases that this host stands for, and no others.
  void UpdateCandidacy();
  std::vector<std::string> LiveHosts() const;
  std::shared_ptr<ShardOwner> MakeOwner(const configuration::Job& aJob,
                                        uint32_t aIndex);
  void UpdateEngines();
  void UpdateEngines(ShardOwner& aOwner);
  void SetVersions(std::span<const objectstore::StoredObject> aObjects);
  void SetVersion(const gossip::VersionNews& aNews);
  /// Tells the other hosts which version a trainer has named in a pull.
  void SpreadVersion(const ShardSignal& aSignal);
  void Handle(std::span<ShardSignal> aSignals);
  void ResignAll();
  /// Streams that one shard of the job may run on an engine.
  uint32_t SlotsOf(const configuration::Job& aJob,
                   const objectstore::HostEntry& aHost) const;

  kernel::Context& m_context;
  RolloutSettings m_settings;
  ShardServices m_services;
  std::map<core::ShardId, std::shared_ptr<ShardOwner>> m_owners;
  std::map<std::string, core::WeightVersion, std::less<>> m_versions;
  std::map<core::JobId, std::shared_ptr<const PromptList>> m_prompts;
  kernel::DeadlineTimer m_candidacyTimer;
  kernel::DeadlineTimer m_drainTimer;
  kernel::DeadlineTimer m_resignTimer;
  kernel::Shutdown::Hold m_drainHold;
};

} // namespace heatherdeal::rollout
