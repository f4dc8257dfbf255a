#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "batches/batchrun.h"
#include "batches/engines.h"
#include "configuration/activeconfiguration.h"
#include "core/failure.h"
#include "gossip/gossip.h"
#include "http/callabort.h"
#include "http/processbudget.h"
#include "kernel/deadlinetimer.h"
#include "objectstore/objectstore.h"
#include "relay/relay.h"

namespace heatherdeal::batches {

struct PoolView;
class PoolViews;

/// Settings of the plug-in.
struct BatchesSettings
{
  /// True if this host runs batches.
  bool m_enabled = false;
  /// How long after it was accepted an ended batch is kept.
  core::Duration m_retention = std::chrono::seconds(150);
  /// How long a draining host continues its batches before it hands them over.
  core::Duration m_drainTime = std::chrono::milliseconds(5500);
};

/// The batch is stored durably and will be run.
struct Accepted
{};

/// The batch was rejected; no part of it will ever run.
struct NotAccepted
{
  core::Failure m_failure;
};

/// The write of the batch was not confirmed; it may or may not be stored.
struct AcceptanceUnknown
{};

/// The batch or the item does not exist, or the batch belongs to another
/// customer.
struct NoSuchBatch
{};

using SubmitOutcome =
  std::variant<Accepted, NotAccepted, AcceptanceUnknown, NoSuchBatch>;

/// A page of results, from the requested position onwards.
struct ResultPage
{
  /// The number of items in the batch.
  size_t m_total = 0;
  std::vector<ItemResult> m_results;
};

/// The request body of an item.
struct ItemBody
{
  std::string m_body;
};

/// The batch has ended; none of its items start any more.
struct BatchEnded
{};

/// Another host runs the batch.
struct OwnedElsewhere
{
  std::string m_host;
};

/// This host cannot answer now; the caller should retry.
struct TemporarilyUnavailable
{
  std::string m_reason;
};

using ReadOutcome =
  std::variant<ResultPage, NoSuchBatch, OwnedElsewhere, TemporarilyUnavailable>;
using BodyOutcome =
  std::variant<ItemBody, NoSuchBatch, OwnedElsewhere, TemporarilyUnavailable>;
using EndOutcome =
  std::variant<BatchEnded, NoSuchBatch, TemporarilyUnavailable>;

/// A batch in a call of a customer, who sees only its own batches.
struct BatchReference
{
  BatchId m_batch;
  /// Empty if the call needed no key.
  core::CustomerId m_customer;
};

/// True if the batch must not be shown to the customer.
bool
IsOfOtherCustomer(const Placement& aPlacement,
                  const core::CustomerId& aCustomer);

/// A long poll for results from a position onwards.
struct ReadRequest
{
  BatchReference m_batch;
  /// The position of the first result to return.
  size_t m_firstPosition = 0;
  /// The time at which the poll is answered even without new results.
  core::Instant m_waitUntil{};
};

/// Accepts batches, runs those that this host owns and takes over those whose
/// owner has left or failed. All durable state is in the object store. Use only
/// on the control thread; callbacks run there as well.
class Batches : public std::enable_shared_from_this<Batches>
{
public:
  using SubmitCallback = std::function<void(SubmitOutcome)>;
  using ReadCallback = std::function<void(ReadOutcome)>;
  using BodyCallback = std::function<void(BodyOutcome)>;
  using EndCallback = std::function<void(EndOutcome)>;

  Batches(kernel::Context& aContext, BatchesSettings aSettings);

  /// Subscribes to placements, hosts and the configuration, if enabled.
  void Start();
  /// Continues for the drain time, then hands every batch over.
  void StartDraining();
  /// Receives whether no stored placement names this host any more.
  using HandOverCallback = std::function<void(bool aIsEmpty)>;
  /// Clears this host as the owner of all its batches, and accepts no further
  /// ones. Calls aDone when all writes have finished. May be called again to
  /// retry the writes that failed.
  void HandOver(HandOverCallback aDone);
  /// True if a host that stays could own the batches of this one.
  bool HasSuccessor() const;
  /// True if no host owns an open batch that is known here.
  bool HasOrphans() const;
  /// Owns and accepts batches again after HandOver.
  void ResumeOwning();
  /// True while an owned batch has neither ended nor completed.
  bool HasOpenBatches() const;

  /// Stores and starts a batch. Submitting a known batch again succeeds.
  void Submit(Submission aSubmission, SubmitCallback aDone);
  /// Answers with durable results, or with an empty page at the time limit.
  void ReadResults(const ReadRequest& aRequest, ReadCallback aDone);
  /// Returns the request body of an item.
  void ReadItemBody(const BatchReference& aBatch,
                    const ItemId& aItem,
                    BodyCallback aDone);
  /// Stops a batch and records that it has ended.
  void EndBatch(const BatchReference& aBatch, EndCallback aDone);

  /// Returns the number of batches that this host owns.
  size_t OwnedCount() const { return m_owned.size(); }
  /// Returns the number of placements that this host knows.
  size_t KnownCount() const { return m_placements.size(); }

private:
  /// A long poll that has not been answered.
  struct PendingRead
  {
    size_t m_firstPosition = 0;
    core::Instant m_expiresAt{};
    ReadCallback m_done;
  };
  /// A request in flight, and the traffic loop on which it runs.
  struct ActiveRequest
  {
    size_t m_loop = 0;
    std::shared_ptr<http::CallAbort> m_abort;
  };
  /// A batch that this host owns.
  struct OwnedBatch
  {
    BatchId m_id;
    core::Instant m_acceptedAt{};
    bool m_loading = false;
    bool m_loaded = false;
    /// Why the batch could not be loaded; "" if nothing has failed.
    std::string m_loadFailure;
    BatchRun m_run;
    /// The version of the checkpoint object; 0 if there is none.
    uint64_t m_checkpointVersion = 0;
    std::vector<PendingRead> m_pendingReads;
    /// When the store was last asked whether this host owns the batch and has
    /// confirmed it.
    core::Instant m_confirmedAt{};
    bool m_isConfirming = false;
    /// Until when reads wait for the confirmation.
    core::Instant m_confirmationWaitEnd{};
    /// When this host has met results that another one has listed, until its
    /// ownership is confirmed. No results are listed meanwhile.
    std::optional<core::Instant> m_contestedAt;
    /// Generation and scoring requests in flight, by item index.
    std::map<size_t, ActiveRequest> m_activeRequests;
    /// The memory of texts that are not complete, by item index.
    std::map<size_t, std::shared_ptr<http::ProcessBudget::Reservation>>
      m_textMemory;
  };
  using OwnedPtr = std::shared_ptr<OwnedBatch>;
  /// The owner of a batch that this host does not own.
  using Location =
    std::variant<OwnedElsewhere, NoSuchBatch, TemporarilyUnavailable>;

  /// A submission that is being stored.
  struct PendingSubmission
  {
    core::CustomerId m_customer;
    std::vector<SubmitCallback> m_callbacks;
  };

  // Placements; implemented in internal/placement.cpp.
  /// Applies the placements that a watch of the object store delivered.
  void ApplyPlacements(std::span<const objectstore::StoredObject> aObjects);
  /// Applies a placement that is newer than the known one: starts or stops
  /// owning the batch.
  void ApplyPlacement(Placement aPlacement);
  /// Writes a placement if the stored one still has its version.
  void WritePlacement(Placement aPlacement,
                      std::function<void(absl::StatusOr<uint64_t>)> aDone);
  /// Reads and applies the stored placement of a batch.
  void FetchPlacement(const BatchId& aBatch,
                      std::function<void(absl::StatusOr<Placement>)> aDone);
  /// Takes over the orphaned batches for which this host is next in the
  /// ranking.
  void TakeOverOrphans();
  /// Hands over before the process ends, until no batch is left.
  void HandOverBeforeExit();
  /// True if the batch may be removed.
  bool IsExpired(const Placement& aPlacement) const;
  void TakeOverBatch(const Placement& aPlacement);
  /// True if the owner has handed the batch over or gossip no longer hears from
  /// the owner.
  bool IsOrphaned(const Placement& aPlacement) const;
  /// True if this host ranks first for the batch among the available hosts.
  bool IsThisHostNextOwner(const BatchId& aBatch) const;
  /// Deletes the owned batches that have ended and are older than the retention
  /// time.
  void RemoveExpiredBatches();
  /// Stops owning a batch: aborts its requests and answers its pending reads.
  void DropBatch(std::string_view aBatch);
  /// Finds the owner of a batch that this host does not own.
  void Locate(const BatchReference& aBatch,
              std::function<void(const Location&)> aDone);
  /// Returns the location for a placement. Starts a takeover if the batch is
  /// orphaned and this host is its next owner.
  Location ResolveLocation(const Placement& aPlacement,
                           const core::CustomerId& aCustomer);
  /// Stops all work on a batch; does not record that it has ended.
  void StopBatch(const BatchId& aBatch);
  /// Writes the end of a batch, and again later for as long as the store does
  /// not take it.
  void WriteEnd(const BatchId& aBatch,
                std::function<void(const absl::Status&)> aDone);
  /// Writes the ends that the store has not taken yet.
  void WritePendingEnds();

  // Loading from the object store; implemented in internal/loading.cpp.
  /// Starts to load a batch unless that has been started already.
  void EnsureLoading(const OwnedPtr& aOwned);
  void LoadItems(const OwnedPtr& aOwned);
  void LoadChunk(const OwnedPtr& aOwned, uint64_t aChunkNumber);
  /// Logs why the batch can't be loaded, once for each reason.
  static void LogLoadFailure(OwnedBatch& aOwned, const absl::Status& aStatus);
  /// Confirms with a strongly consistent read that the chunk does not exist,
  /// then seals the results.
  void ConfirmChunkMissing(const OwnedPtr& aOwned, uint64_t aChunkNumber);
  void HandleLoadedChunk(
    const OwnedPtr& aOwned,
    uint64_t aChunkNumber,
    const absl::StatusOr<objectstore::StoredObject>& aObject);
  void LoadCheckpoint(const OwnedPtr& aOwned);
  /// Reads only the version of the checkpoint, after a write conflict.
  void LoadCheckpointVersion(const OwnedPtr& aOwned);
  void ApplyLoadedCheckpoint(
    const OwnedPtr& aOwned,
    const absl::StatusOr<objectstore::StoredObject>& aRead);
  /// Runs a task after a delay, to retry what the object store failed.
  void ScheduleRetry(std::function<void()> aTask);
  /// Starts to run a batch whose state is complete.
  void ActivateBatch(const OwnedPtr& aOwned,
                     std::shared_ptr<const Submission> aSubmission);

  // Changes of the owner; implemented in internal/ownership.cpp.
  /// Creates an empty chunk after the loaded ones, which keeps an earlier owner
  /// from listing results, then loads the checkpoint.
  void SealResults(const OwnedPtr& aOwned);
  /// True if the store has confirmed recently that this host owns the batch.
  static bool IsOwnershipConfirmed(const OwnedBatch& aOwned,
                                   core::Instant aNow);
  /// Asks the store whether this host owns the batch.
  void ConfirmOwnership(const OwnedPtr& aOwned);
  /// Lists no further results until the ownership is confirmed.
  void HandleContestedResults(const OwnedPtr& aOwned);
  /// Answers the reads that are due with TemporarilyUnavailable.
  static void RejectDueReads(OwnedBatch& aOwned, core::Instant aNow);
  /// True if the read is to be answered even without results.
  static bool IsDue(const OwnedBatch& aOwned,
                    const PendingRead& aRead,
                    core::Instant aNow);

  // Accepting submissions; implemented in internal/accepting.cpp.

  /// Reports the outcome to every caller that submitted this batch.
  void CompleteSubmission(const BatchId& aBatch, const SubmitOutcome& aOutcome);
  void StoreItems(std::shared_ptr<const Submission> aSubmission);
  /// Continues with a submission whose items are stored already, unless they
  /// are of another customer.
  void CheckStoredItems(std::shared_ptr<const Submission> aSubmission);
  /// Completes a submission whose placement is stored already.
  void AnswerFromStoredPlacement(
    const std::shared_ptr<const Submission>& aSubmission);
  /// Writes the first placement of a batch; retries until aDeadline while the
  /// outcome of the write is unknown.
  void CreatePlacement(std::shared_ptr<const Submission> aSubmission,
                       core::Instant aDeadline);
  /// Tries again while an attempt may have taken effect, else rejects.
  void HandleFailedCreation(std::shared_ptr<const Submission> aSubmission,
                            const core::Failure& aFailure,
                            core::Instant aDeadline);
  /// Returns NotAccepted, or AcceptanceUnknown if an earlier attempt to create
  /// the batch's placement may still take effect.
  SubmitOutcome MakeRejection(const BatchId& aBatch,
                              core::Failure aFailure) const;
  /// Drops unconfirmed creations that are older than the retention time.
  void ForgetOldCreations();
  /// Becomes the owner of a batch whose placement has been created.
  void AdoptBatch(std::shared_ptr<const Submission> aSubmission,
                  uint64_t aVersion);

  // Running items is implemented in internal/running.cpp, scoring in
  // internal/scoring.cpp, storing and serving results in
  // internal/resultstorage.cpp, and checkpoints of unfinished texts in
  // internal/checkpoints.cpp.

  /// Does all work that is due, then sets the timer for the next deadline.
  void RunDueWork();
  /// Expires, scores and stores items of a batch, and answers pending reads.
  void ProcessBatch(const OwnedPtr& aOwned);
  /// Starts waiting items on free engines, oldest batch first.
  void StartItems();
  void MoveItemsIfDue();
  /// Aborts runs on slow engines, so that the items resume on faster ones.
  void MoveItems();
  /// Aborts the runs on the slow engines of one pool.
  void MoveItemsOfPool(const OwnedPtr& aOwned, const PoolView& aView);
  void StartItemsOfBatch(const OwnedPtr& aOwned, PoolViews& aViews);
  /// Starts one item at the service of the route whose turn it is, or at
  /// another one if that is passed over. Returns false if none could start.
  bool StartNextItem(const OwnedPtr& aOwned,
                     const configuration::Route& aRoute,
                     PoolViews& aViews);
  /// Starts one item at the engines of the pool. Returns false if none could
  /// start.
  bool StartItemAt(const OwnedPtr& aOwned,
                   const std::shared_ptr<const routing::Pool>& aPool,
                   PoolViews& aViews);
  /// Sends one item to an engine that has refused items, to find out whether
  /// it accepts them again.
  void ProbeEngine(const OwnedPtr& aOwned, PoolView& aView);
  /// Discards texts that no engine of the pool will continue. Returns true if
  /// there were any.
  bool DiscardTexts(const OwnedPtr& aOwned, const PoolView& aView);
  void ReportDiscardedTexts(const BatchId& aBatch,
                            size_t aTexts,
                            std::string_view aReason);
  /// Returns the services to which the route sends items and that have engines
  /// that stay.
  std::vector<core::ServiceId> FindServicesWithEngines(
    const configuration::Route& aRoute) const;
  void StartItem(const OwnedPtr& aOwned,
                 const ItemStart& aStart,
                 PoolView& aView);
  /// True if the descriptors of this process suffice for one more generation or
  /// scoring request.
  bool MayStartRequest() const;
  /// Returns the memory that the text of the item occupies, or null if there is
  /// no budget.
  std::shared_ptr<http::ProcessBudget::Reservation> ReserveText(
    OwnedBatch& aOwned,
    size_t aItem) const;
  /// Returns the memory of a text that has become a result or was discarded.
  static void ReleaseFinishedText(OwnedBatch& aOwned, size_t aItem);
  void StartScoreRequests(const OwnedPtr& aOwned);
  void StartScoreRequest(const OwnedPtr& aOwned,
                         size_t aItem,
                         const configuration::Route& aRoute);
  /// Tries again later to score an item whose scoring request has no route.
  void PostponeScoring(const OwnedPtr& aOwned, size_t aItem);
  void StoreDueResults(const OwnedPtr& aOwned);
  void LogLostItems(const OwnedPtr& aOwned, const ResultChunk& aChunk) const;
  void WriteChunk(const OwnedPtr& aOwned, const ResultChunk& aChunk);
  /// Reads the chunk that another owner has stored under the same number.
  void ReadConflictingChunk(const OwnedPtr& aOwned, const ResultChunk& aChunk);
  /// Writes a checkpoint if one is due.
  void StoreCheckpoint(const OwnedPtr& aOwned);
  void AbortActiveRequests(OwnedBatch& aOwned);
  void AnswerPendingReads(const OwnedPtr& aOwned);
  BatchPolicy MakePolicy(const OwnedBatch& aOwned,
                         const Submission& aSubmission) const;
  /// Returns the monotonic time of a past wall-clock time. The wall clock is
  /// read only here; deadlines use the monotonic clock.
  static core::Instant ToMonotonic(int64_t aUnixMilliseconds);
  /// Loads the batches that waited for a configuration, and puts the policies
  /// of their routes into force.
  void HandleConfiguration(const configuration::Document& aDocument);
  bool IsOwned(const OwnedPtr& aOwned) const;
  /// Returns the batch if this host owns it and the customer may see it, or
  /// null.
  OwnedPtr FindOwned(const BatchReference& aBatch) const;
  bool IsEnded(std::string_view aBatch) const;
  /// True if the configuration in force has customers.
  bool HasCustomers() const;

  kernel::Context& m_context;
  BatchesSettings m_settings;
  std::shared_ptr<objectstore::ObjectStore> m_store;
  std::shared_ptr<configuration::ActiveConfiguration> m_configuration;
  std::shared_ptr<gossip::Gossip> m_gossip;
  std::shared_ptr<relay::Relay> m_relay;
  /// Null if the process has no budget.
  std::shared_ptr<http::ProcessBudget> m_budget;
  std::map<std::string, Placement, std::less<>> m_placements;
  std::map<std::string, OwnedPtr, std::less<>> m_owned;
  /// The earliest time of the next takeover attempt, by batch.
  std::map<std::string, core::Instant, std::less<>> m_nextTakeoverAt;
  /// Submissions whose outcome callers wait for, by batch.
  std::map<std::string, PendingSubmission, std::less<>> m_pendingSubmissions;
  /// Batches that their trainers have ended and whose placements do not say so
  /// yet.
  std::set<std::string, std::less<>> m_pendingEnds;
  /// Batches whose placement an attempt of unknown outcome may still create,
  /// and until when that is remembered.
  std::map<std::string, core::Instant, std::less<>> m_unconfirmedCreations;
  kernel::DeadlineTimer m_workTimer;
  kernel::DeadlineTimer m_housekeepingTimer;
  kernel::DeadlineTimer m_drainTimer;
  kernel::Shutdown::Hold m_drainHold;
  core::Instant m_startedAt{};
  core::Instant m_nextMoveCheck{};
  /// True once this host has begun to hand its batches over.
  bool m_isHandingOver = false;
};

} // namespace heatherdeal::batches
