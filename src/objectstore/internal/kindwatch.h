#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>

#include "boost/asio/awaitable.hpp"
#include "boost/asio/steady_timer.hpp"

#include "kernel/published.h"
#include "objectstore/internal/objectcalls.h"
#include "objectstore/internal/storetransport.h"
#include "objectstore/internal/unreadableobjects.h"
#include "objectstore/objectcodec.h"
#include "objectstore/objectstore.h"

namespace heatherdeal::objectstore {

/// Snapshot of a kind as served to other hosts.
struct KindSnapshot
{
  uint64_t m_revision = 0;
  /// The list in the encoding of the built-in object API.
  std::string m_encodedList;
};

/// Parameters of the watch of one kind.
struct WatchOptions
{
  std::string m_kind;
  std::vector<core::Endpoint> m_endpoints;
  BackoffPolicy m_backoff;
  core::Duration m_callTimeout{};
  core::Duration m_longPollWait{};
  core::Duration m_expiryGrace{};
  /// Relays for the first list, which are polled until m_bootstrapUntil.
  std::vector<core::Endpoint> m_bootstrapRelays;
  core::Instant m_bootstrapUntil{};
  /// Both callbacks run on the control thread.
  ObjectStore::WatchCallback m_onChanged;
  ObjectStore::MissedChangesCallback m_onMissedChanges;
};

/// The kind is listed from the object API itself.
struct StoreSource
{};

/// The kind is listed from a host that watches it and relays it.
struct RelaySource
{
  core::Endpoint m_relay;
};

/// The relays report that they cannot reach the store; they are asked again
/// later.
struct WaitForRelays
{
  core::Instant m_until{};
};

using WatchSource = std::variant<StoreSource, RelaySource, WaitForRelays>;

/// Keeps a local copy of one kind up to date by long polling the store or a
/// relay. Runs on one traffic loop, except where noted.
class KindWatch : public std::enable_shared_from_this<KindWatch>
{
public:
  KindWatch(kernel::Context& aContext,
            http::Client& aClient,
            std::shared_ptr<StoreTransport> aTransport,
            WatchOptions aOptions);

  /// Watches the kind until the process exits.
  boost::asio::awaitable<void> RunWatchLoop();

  /// Relists the kind unless aRevision has already been seen, or the watch
  /// polls a relay, which will report the change itself.
  void RelistIfOlderThan(uint64_t aRevision);

  /// Sends the long poll in flight to the store again, because it may have been
  /// lost in a silence of the store.
  void RestartLongPoll();

  /// Sets the hosts to poll instead of the store. Any thread.
  void SetWatchRelays(std::vector<core::Endpoint> aRelays);

  /// Returns the snapshot for other hosts, or null while it may be out of date.
  /// Any thread.
  std::shared_ptr<const KindSnapshot> Snapshot() const;
  /// Returns when the watch last had the newest state. Any thread.
  std::shared_ptr<const ConfirmedTime> Confirmed() const { return m_confirmed; }
  /// Cancels aTimer once, at the next change of the snapshot. Any thread.
  void CancelTimerOnChange(std::shared_ptr<boost::asio::steady_timer> aTimer);

private:
  using Objects = std::map<std::string, StoredObject>;

  /// Returns the first relay that has not failed recently, or the store if
  /// there is none.
  WatchSource ChooseSource();
  /// Returns what to do while relays report that the store is unavailable.
  WatchSource ChooseDuringOutage();
  /// Returns the bootstrap relay to try next. There must be one.
  const core::Endpoint& CurrentBootstrapRelay() const;
  ListRequest BuildListRequest(const WatchSource& aSource) const;
  /// Returns a function that sends requests to the given source.
  RequestSender MakeRequestSender(const WatchSource& aSource);
  boost::asio::awaitable<absl::StatusOr<ObjectList>> RequestList(
    const WatchSource& aSource,
    ListRequest aRequest);
  void HandleRelayFailure(const RelaySource& aSource,
                          const absl::Status& aStatus);
  /// True if the list reports nothing newer than the known revision.
  bool IsUnchanged(const WatchSource& aSource, const ObjectList& aList);
  /// Replaces the snapshot for other hosts and wakes their long polls.
  void PublishSnapshot();
  /// Moves on to the next endpoint and waits for the back-off delay.
  boost::asio::awaitable<void> BackOff();
  /// Withdraws the snapshot, or prepares a relist if the store no longer holds
  /// the history since the known revision.
  void HandleStoreFailure(const absl::Status& aStatus);
  /// Applies the list, or returns false if it is older than the known revision.
  bool ApplyList(ObjectList aList);
  /// Retains, for the grace period, known objects that aList does not contain.
  void RetainExpiredObjects(const ObjectList& aList);
  /// Drops the retained objects once the grace period has ended.
  void DropExpiredObjects();
  /// Passes all objects to the change callback and updates the snapshot.
  void NotifyChanged();
  /// Records that the watch had the newest state at the time, after its change
  /// callback has received it.
  void Confirm(std::optional<core::Instant> aConfirmedAt);
  /// Reports the changes that a relist found compared with aBefore.
  void ReportMissedChanges(const Objects& aBefore);
  /// Updates the outage state, logs and metrics after a call.
  void RecordReachability(const absl::Status& aStatus);

  kernel::Context& m_context;
  http::Client& m_client;
  std::shared_ptr<StoreTransport> m_transport;
  WatchOptions m_options;
  BackoffState m_backoff;
  size_t m_endpointIndex = 0;
  size_t m_bootstrapRelayIndex = 0;
  /// The revision from which the watch continues; empty if the kind has to be
  /// listed anew.
  std::optional<uint64_t> m_revision;
  /// The highest revision that has been applied.
  uint64_t m_lastRevision = 0;
  UnreadableObjects m_unreadableObjects;
  /// True once the kind has been listed.
  bool m_hasListed = false;
  Objects m_objects;
  /// Objects that expired during an outage, and the end of their retention.
  Objects m_expiredObjects;
  core::Instant m_retainExpiredUntil{};
  /// Since when neither the store nor a relay has answered, if they do not.
  std::optional<core::Instant> m_withoutNewsSince;
  /// Start of the current outage of the store, if there is one.
  std::optional<core::Instant> m_storeLostAt;
  std::shared_ptr<http::CallAbort> m_callAbort;
  /// True if the next request must list the whole kind.
  bool m_relistPending = false;
  /// True if the request in flight goes to a relay.
  bool m_isPollingRelay = false;
  /// True while a long poll of the store is in flight.
  bool m_isLongPolling = false;
  /// The earliest time at which a long poll is sent again.
  core::Instant m_nextRestartAt{};
  /// Advanced on the control thread.
  std::shared_ptr<ConfirmedTime> m_confirmed =
    std::make_shared<ConfirmedTime>();
  kernel::Published<std::vector<core::Endpoint>> m_relays;
  /// The relays that failed, with the earliest time of the next attempt.
  std::map<core::Endpoint, core::Instant> m_failedRelayRetryAt;
  /// Since when relays have reported that the store is unavailable, if they do.
  std::optional<core::Instant> m_relaysUnavailableSince;
  /// Guards the members below.
  mutable std::mutex m_mutex;
  std::shared_ptr<const KindSnapshot> m_snapshot;
  std::vector<std::shared_ptr<boost::asio::steady_timer>> m_waitingTimers;
};

} // namespace heatherdeal::objectstore
