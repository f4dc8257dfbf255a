#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "batches/batchrun.h"
#include "configuration/activeconfiguration.h"
#include "core/failure.h"
#include "gossip/gossip.h"
#include "http/callabort.h"
#include "kernel/deadlinetimer.h"
#include "objectstore/objectstore.h"
#include "relay/relay.h"

namespace heatherdeal::batches {

struct EngineView;
class EngineViews;

struct BatchesSettings
{
  bool m_enabled = false;
  /// Batches are removed so long after they were accepted.
  core::Duration m_keep = std::chrono::seconds(150);
  /// How long a leaving host goes on with its batches.
  core::Duration m_drainTime = std::chrono::milliseconds(5500);
};

/// The batch is kept from now on.
struct Accepted
{};

/// Nothing of it runs, now or later.
struct NotAccepted
{
  core::Failure m_failure;
};

/// The store did not say whether it keeps the batch.
struct AcceptanceUnknown
{};

using SubmitOutcome = std::variant<Accepted, NotAccepted, AcceptanceUnknown>;

/// Results from a position on.
struct ResultPage
{
  size_t m_total = 0;
  std::vector<ItemResult> m_results;
};

struct ItemBody
{
  std::string m_body;
};

struct BatchEnded
{};

/// There is no such batch or item.
struct NoSuchBatch
{};

/// Another host runs the batch.
struct OwnedElsewhere
{
  std::string m_host;
};

/// This host cannot tell now.
struct CannotTell
{
  std::string m_reason;
};

using ReadOutcome =
  std::variant<ResultPage, NoSuchBatch, OwnedElsewhere, CannotTell>;
using BodyOutcome =
  std::variant<ItemBody, NoSuchBatch, OwnedElsewhere, CannotTell>;
using EndOutcome = std::variant<BatchEnded, NoSuchBatch, CannotTell>;

/// Asks for results from a position on, waiting for the first of them.
struct ReadRequest
{
  BatchId m_batch;
  size_t m_after = 0;
  core::Instant m_waitUntil{};
};

/// Accepts batches, runs those that this host owns, and takes over those of
/// hosts that are gone. Everything that must last is in the object store.
/// Control thread only; callbacks come on it too.
class Batches : public std::enable_shared_from_this<Batches>
{
public:
  using SubmitCallback = std::function<void(SubmitOutcome)>;
  using ReadCallback = std::function<void(ReadOutcome)>;
  using BodyCallback = std::function<void(BodyOutcome)>;
  using EndCallback = std::function<void(EndOutcome)>;

  Batches(kernel::Context& aContext, BatchesSettings aSettings);

  void Start();
  /// Goes on for the drain time, then hands over what is not done.
  void StartLeaving();
  /// Hands over every batch; aDone runs when others may take them.
  void HandOver(std::function<void()> aDone);
  /// True while a batch of this host is not complete.
  bool HasOpenBatches() const;

  void Submit(Submission aSubmission, SubmitCallback aDone);
  void Read(const ReadRequest& aRequest, ReadCallback aDone);
  void ReadBody(const BatchId& aBatch, const ItemId& aItem, BodyCallback aDone);
  void End(const BatchId& aBatch, EndCallback aDone);

  size_t Owned() const { return m_owned.size(); }
  size_t Known() const { return m_placements.size(); }

private:
  struct Waiter
  {
    size_t m_after = 0;
    core::Instant m_until{};
    ReadCallback m_done;
  };
  struct Work
  {
    size_t m_loop = 0;
    std::shared_ptr<http::CallAbort> m_abort;
  };
  struct OwnedBatch
  {
    BatchId m_id;
    bool m_loading = false;
    bool m_loaded = false;
    BatchRun m_run;
    /// Version of its checkpoint in the object store; 0: none.
    uint64_t m_checkpointVersion = 0;
    std::vector<Waiter> m_waiters;
    std::map<size_t, Work> m_work;
  };
  using OwnedPtr = std::shared_ptr<OwnedBatch>;
  /// Where a batch that this host does not own is.
  using Location = std::variant<OwnedElsewhere, NoSuchBatch, CannotTell>;

  // Placement, in internal/placement.cpp.
  void LearnPlacements(std::span<const objectstore::StoredObject> aObjects);
  void Learn(Placement aPlacement);
  void Store(Placement aPlacement,
             std::function<void(absl::StatusOr<uint64_t>)> aDone);
  void Fetch(const BatchId& aBatch,
             std::function<void(absl::StatusOr<Placement>)> aDone);
  void TakeOverOrphans();
  void TakeOver(const Placement& aPlacement);
  bool IsOrphan(const Placement& aPlacement) const;
  bool IsNextOwner(const BatchId& aBatch) const;
  void Expire();
  void Drop(std::string_view aBatch);
  void Locate(const BatchId& aBatch,
              std::function<void(const Location&)> aDone);
  Location LocationOf(const Placement& aPlacement);
  void StopRunning(const BatchId& aBatch);

  // Loading from the store, in internal/loading.cpp.
  void EnsureLoading(const OwnedPtr& aOwned);
  void LoadItems(const OwnedPtr& aOwned);
  void LoadChunk(const OwnedPtr& aOwned, uint64_t aNumber);
  /// Makes sure that there is no such chunk before it goes on.
  void LoadLastChunk(const OwnedPtr& aOwned, uint64_t aNumber);
  void TakeChunk(const OwnedPtr& aOwned,
                 uint64_t aNumber,
                 const absl::StatusOr<objectstore::StoredObject>& aObject);
  void LoadCheckpoint(const OwnedPtr& aOwned);
  void LoadCheckpointVersion(const OwnedPtr& aOwned);
  void TakeCheckpoint(const OwnedPtr& aOwned,
                      const absl::StatusOr<objectstore::StoredObject>& aRead);
  /// Runs a task again after a failure of the store.
  void Later(std::function<void()> aTask);
  void Activate(const OwnedPtr& aOwned,
                std::shared_ptr<const Submission> aSubmission);

  // Accepting, in internal/accepting.cpp.
  void Announce(const BatchId& aBatch, const SubmitOutcome& aOutcome);
  void StoreItems(std::shared_ptr<const Submission> aSubmission);
  void StorePlacement(std::shared_ptr<const Submission> aSubmission,
                      core::Instant aDeadline);
  void Adopt(std::shared_ptr<const Submission> aSubmission, uint64_t aVersion);

  // Running, in internal/running.cpp; scoring, in internal/scoring.cpp;
  // storing and answering, in internal/listing.cpp; unfinished texts, in
  // internal/checkpoints.cpp.
  void Pump();
  void Serve(const OwnedPtr& aOwned);
  void StartItems();
  void PlanMoves();
  void MoveItems();
  std::shared_ptr<const routing::Pool> PoolFor(
    const configuration::Route* aRoute,
    const BatchRun& aRun) const;
  void StartItemsOf(const OwnedPtr& aOwned, EngineViews& aViews);
  /// Asks an engine that has refused whether it takes items again.
  void TryEngine(const OwnedPtr& aOwned, EngineView& aView);
  void StartItem(const OwnedPtr& aOwned,
                 size_t aItem,
                 EngineView& aView,
                 size_t aEngine);
  void StartScores(const OwnedPtr& aOwned);
  bool StartScoring(const OwnedPtr& aOwned, size_t aItem);
  void StoreResults(const OwnedPtr& aOwned);
  void LogLost(const OwnedPtr& aOwned, const ResultChunk& aChunk) const;
  void WriteChunk(const OwnedPtr& aOwned, const ResultChunk& aChunk);
  void ReadTakenChunk(const OwnedPtr& aOwned, const ResultChunk& aChunk);
  void StoreCheckpoint(const OwnedPtr& aOwned);
  void AbortWork(OwnedBatch& aOwned);
  void AnswerWaiters(OwnedBatch& aOwned);
  BatchPolicy PolicyOf(const Submission& aSubmission) const;
  bool IsOwned(const OwnedPtr& aOwned) const;
  bool IsEnded(std::string_view aBatch) const;

  kernel::Context& m_context;
  BatchesSettings m_settings;
  std::shared_ptr<objectstore::ObjectStore> m_store;
  std::shared_ptr<configuration::ActiveConfiguration> m_configuration;
  std::shared_ptr<gossip::Gossip> m_gossip;
  std::shared_ptr<relay::Relay> m_relay;
  std::map<std::string, Placement, std::less<>> m_placements;
  std::map<std::string, OwnedPtr, std::less<>> m_owned;
  /// Until when a batch is not taken over again.
  std::map<std::string, core::Instant, std::less<>> m_takeoversRestUntil;
  std::map<std::string, std::vector<SubmitCallback>, std::less<>> m_submits;
  kernel::DeadlineTimer m_timer;
  kernel::DeadlineTimer m_housekeeping;
  kernel::DeadlineTimer m_leaving;
  kernel::Shutdown::Hold m_leavingHold;
  core::Instant m_startedAt{};
  core::Instant m_movesAt{};
};

} // namespace heatherdeal::batches
