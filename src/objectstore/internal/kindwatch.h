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
#include "objectstore/internal/storepath.h"
#include "objectstore/objectcodec.h"
#include "objectstore/objectstore.h"

namespace heatherdeal::objectstore {

/// Snapshot of a kind as served to other hosts.
struct RelayedKind
{
  uint64_t m_revision = 0;
  /// The list in the encoding of the built-in object API.
  std::string m_text;
};

/// Parameters of the watch of one kind.
struct WatchTask
{
  std::string m_kind;
  std::vector<core::Endpoint> m_endpoints;
  BackoffPolicy m_backoff;
  core::Duration m_callTime{};
  core::Duration m_watchTime{};
  core::Duration m_lapseGrace{};
  /// Both callbacks run on the control thread.
  ObjectStore::WatchCallback m_changed;
  ObjectStore::MissedCallback m_missed;
};

/// The kind is listed from the object API itself.
struct FromStore
{};

/// The kind is listed from a host that watches it and relays it.
struct FromRelay
{
  core::Endpoint m_relay;
};

using WatchSource = std::variant<FromStore, FromRelay>;

/// Keeps a local copy of one kind up to date by long polling the store or a
/// relay. Runs on one traffic loop, except where noted.
class KindWatch : public std::enable_shared_from_this<KindWatch>
{
public:
  KindWatch(kernel::Context& aContext,
            http::Client& aClient,
            std::shared_ptr<StorePath> aPath,
            WatchTask aTask);

  /// Watches the kind until the process exits.
  boost::asio::awaitable<void> Run();

  /// Relists the kind unless aRevision has already been seen, or the watch
  /// polls a relay, which will report the change itself.
  void Refresh(uint64_t aRevision);

  /// Sets the hosts to poll instead of the store. Any thread.
  void SetRelays(std::vector<core::Endpoint> aRelays);

  /// Returns the snapshot for other hosts, or null while it may be out of date.
  /// Any thread.
  std::shared_ptr<const RelayedKind> Snapshot() const;
  /// Cancels aTimer once, at the next change of the snapshot. Any thread.
  void WakeOnChange(std::shared_ptr<boost::asio::steady_timer> aTimer);

private:
  using Objects = std::map<std::string, StoredObject>;

  /// Returns the first relay that has not failed recently, or the store.
  WatchSource NextSource();
  ListRequest NextRequest(const WatchSource& aSource) const;
  StoreExchange ExchangeOf(const WatchSource& aSource);
  boost::asio::awaitable<absl::StatusOr<ObjectList>> Ask(
    const WatchSource& aSource,
    ListRequest aRequest);
  void OnRelayFailure(const FromRelay& aSource, const absl::Status& aStatus);
  /// True if the list reports nothing newer than the known revision.
  bool TakesUnchanged(const WatchSource& aSource, const ObjectList& aList);
  /// Replaces the snapshot for other hosts and wakes their long polls.
  void Publish();
  /// Moves on to the next endpoint and waits for the back-off delay.
  boost::asio::awaitable<void> Pause();
  void OnFailure(const absl::Status& aStatus);
  /// Applies the list, or returns false if it is older than the known revision.
  bool Merge(ObjectList aList);
  /// Retains, for the grace period, known objects that aList does not contain.
  void KeepLapsed(const ObjectList& aList);
  /// Drops the retained objects once the grace period has ended.
  void DropLapsed();
  /// Passes all objects to the change callback and updates the snapshot.
  void Announce();
  /// Reports the changes that a relist found compared with aBefore.
  void NoteMissed(const Objects& aBefore);
  /// Updates the outage state, logs and metrics after a call.
  void NoteReachable(const absl::Status& aStatus);

  kernel::Context& m_context;
  http::Client& m_client;
  std::shared_ptr<StorePath> m_path;
  WatchTask m_task;
  BackoffState m_backoff;
  size_t m_endpoint = 0;
  std::optional<uint64_t> m_revision;
  Objects m_objects;
  /// Objects that expired during an outage, and the end of their retention.
  Objects m_lapsed;
  core::Instant m_lapsedUntil{};
  /// Start of the current outage of the store, if there is one.
  std::optional<core::Instant> m_lostAt;
  std::shared_ptr<http::CallAbort> m_abort;
  /// True if the next request must list the whole kind.
  bool m_refreshing = false;
  /// True if the request in flight goes to a relay.
  bool m_relayed = false;
  kernel::Published<std::vector<core::Endpoint>> m_relays;
  /// The relays that failed, with the earliest time of the next attempt.
  std::map<core::Endpoint, core::Instant> m_failedRelays;
  /// Guards the members below.
  mutable std::mutex m_mutex;
  std::shared_ptr<const RelayedKind> m_snapshot;
  std::vector<std::shared_ptr<boost::asio::steady_timer>> m_waiting;
};

} // namespace heatherdeal::objectstore
