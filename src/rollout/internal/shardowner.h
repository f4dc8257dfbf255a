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
#include "rollout/internal/signals.h"
#include "rollout/shard.h"

namespace heatherdeal::rollout {

/// Holds what all shards of a process share.
struct ShardServices
{
  kernel::Context* m_context = nullptr;
  std::shared_ptr<kernel::Mailbox<ShardSignal>> m_mailbox;
  lease::LeasePolicy m_lease;
  /// The address at which other hosts and trainers reach this process.
  core::Endpoint m_self;
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
  void Handle(ShardSignal aSignal);

  /// Returns true once Start has been called.
  bool HasStarted() const { return m_started; }
  const configuration::Job& JobSettings() const { return m_job; }
  /// Returns the state of the shard, or null while another host owns it.
  const ShardState* State() const { return m_state.get(); }
  const lease::LeaseState& Lease() const { return m_lease->State(); }

private:
  void Granted(uint64_t aEpoch);
  void Lost(std::string_view aNewHolder);

  void Feed(const ShardEvent& aEvent);
  void Accept(TextArrived& aInput);
  void Accept(ScoresArrived& aInput);
  void Accept(PullRequest& aInput);
  template<typename Event>
  void Accept(Event& aInput)
  {
    Feed(aInput);
  }

  void Run(const StartStream& aEffect);
  void Run(const CancelStream& aEffect);
  void Run(const DropSample& aEffect);
  void Run(const ScoreGroup& aEffect);
  void Run(const DropGroup& aEffect);
  void Run(const delivery::SendBatch& aEffect);
  void Run(const delivery::RefusePull& aEffect);

  std::function<void(ShardInput)> Sink() const;
  core::Group MakeGroup(core::GroupOrdinal aOrdinal) const;
  std::string Prompt(core::GroupOrdinal aOrdinal) const;
  bool HoldsTokens(const core::SampleId& aSample, uint32_t aTokens) const;

  ShardServices m_services;
  configuration::Job m_job;
  core::ShardId m_id;
  std::shared_ptr<const PromptList> m_prompts;
  std::shared_ptr<lease::LeaseClient> m_lease;
  std::unique_ptr<ShardState> m_state;
  kernel::DeadlineTimer m_timer;

  std::vector<EngineReport> m_engines;
  std::map<core::UpstreamId, core::Endpoint> m_endpoints;
  std::vector<core::Endpoint> m_scorers;
  size_t m_nextScorer = 0;
  bool m_started = false;
  core::WeightVersion m_newest;

  std::map<core::SampleId, std::string> m_texts;
  std::map<core::GroupOrdinal, std::vector<double>> m_scores;
  std::map<std::pair<core::SampleId, uint32_t>,
           std::shared_ptr<std::atomic<bool>>>
    m_streams;
  std::map<uint64_t, std::shared_ptr<PullReply>> m_pulls;
  uint64_t m_lastPull = 0;
};

} // namespace heatherdeal::rollout
