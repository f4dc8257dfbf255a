#pragma once

#include <map>
#include <memory>
#include <span>
#include <string>

#include "configuration/document.h"
#include "kernel/deadlinetimer.h"
#include "kernel/mailbox.h"
#include "lease/leaseclient.h"
#include "objectstore/hosts.h"
#include "reports/reports.h"
#include "rollout/internal/prompts.h"
#include "rollout/internal/shardmessages.h"
#include "rollout/shard.h"

namespace heatherdeal::rollout {

/// Holds what all shards of a process share.
struct ShardServices
{
  kernel::Context* m_context = nullptr;
  std::shared_ptr<kernel::Mailbox<ShardMessage>> m_mailbox;
  lease::LeasePolicy m_leasePolicy;
  /// The address at which other hosts and trainers reach this process.
  core::Endpoint m_selfEndpoint;
};

/// Runs a shard that this process owns or is a lease candidate for. Used on the
/// control thread only.
class ShardOwner : public std::enable_shared_from_this<ShardOwner>
{
public:
  ShardOwner(ShardServices aServices,
             const configuration::Job& aJob,
             uint32_t aIndex,
             std::shared_ptr<const PromptList> aPrompts);

  /// Starts to compete for the lease of the shard.
  void Start();
  /// Completes groups in progress and starts no new ones.
  void StartDrain();
  /// Releases the lease.
  void Resign();

  /// Replaces the available engines and their addresses.
  void SetEngines(std::vector<EngineReport> aReports,
                  std::map<core::UpstreamId, core::Endpoint> aEndpoints);
  void SetScorers(std::vector<core::Endpoint> aScorers);
  void SetNewestVersion(core::WeightVersion aVersion);
  void HandleMessage(ShardMessage aMessage);

  /// Returns true once Start has been called.
  bool HasStarted() const { return m_started; }
  const configuration::Job& JobSettings() const { return m_job; }
  /// Returns the state of the shard, or null while another host owns it.
  const ShardState* State() const { return m_state.get(); }
  const lease::LeaseState& Lease() const { return m_leaseClient->State(); }

private:
  void OnLeaseGranted(uint64_t aEpoch);
  void OnLeaseLost(std::string_view aNewHolder);

  /// Applies an event to the state, executes its effects and sets the timer.
  void ApplyEvent(const ShardEvent& aEvent);
  void HandleInput(TextArrived& aInput);
  void HandleInput(ScoresArrived& aInput);
  void HandleInput(PullRequest& aInput);
  template<typename Event>
  void HandleInput(Event& aInput)
  {
    ApplyEvent(aInput);
  }

  void ExecuteEffect(const StartStream& aEffect);
  void ExecuteEffect(const CancelStream& aEffect);
  void ExecuteEffect(const DropSample& aEffect);
  void ExecuteEffect(const ScoreGroup& aEffect);
  void ExecuteEffect(const DropGroup& aEffect);
  void ExecuteEffect(const delivery::SendBatch& aEffect);
  void ExecuteEffect(const delivery::RefusePull& aEffect);

  /// Returns a function that passes inputs to this owner from any thread,
  /// tagged with the current epoch.
  std::function<void(ShardInput)> MakeInputSink() const;
  /// Returns a scored group with its payload.
  core::Group MakeGroup(core::GroupOrdinal aOrdinal) const;
  std::string PromptFor(core::GroupOrdinal aOrdinal) const;
  /// Returns true if exactly aTokens tokens of the sample have been accepted.
  bool HasTokenCount(const core::SampleId& aSample, uint32_t aTokens) const;

  ShardServices m_services;
  configuration::Job m_job;
  core::ShardId m_shardId;
  std::shared_ptr<const PromptList> m_prompts;
  std::shared_ptr<lease::LeaseClient> m_leaseClient;
  std::unique_ptr<ShardState> m_state;
  kernel::DeadlineTimer m_deadlineTimer;

  std::vector<EngineReport> m_engineReports;
  std::map<core::UpstreamId, core::Endpoint> m_engineEndpoints;
  std::vector<core::Endpoint> m_scorers;
  size_t m_nextScorer = 0;
  bool m_started = false;
  core::WeightVersion m_newestVersion;

  std::map<core::SampleId, std::string> m_sampleTexts;
  std::map<core::GroupOrdinal, std::vector<double>> m_groupScores;
  /// Flags that cancel streams, by sample and attempt.
  std::map<std::pair<core::SampleId, uint32_t>,
           std::shared_ptr<std::atomic<bool>>>
    m_streamCancelFlags;
  std::map<uint64_t, std::shared_ptr<PendingPullResult>> m_pendingPulls;
  uint64_t m_lastPullId = 0;
};

} // namespace heatherdeal::rollout
