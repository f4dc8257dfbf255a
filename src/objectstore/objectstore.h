#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

#include "core/ids.h"
#include "http/client.h"
#include "http/exchange.h"
#include "kernel/context.h"
#include "objectstore/backoff.h"
#include "objectstore/callbudget.h"
#include "objectstore/confirmedtime.h"
#include "objectstore/object.h"

namespace heatherdeal::objectstore {

class KindWatch;
class StoreTransport;

/// Settings of the object API client.
struct ObjectStoreSettings
{
  std::vector<core::Endpoint> m_endpoints;
  CallBudgetPolicy m_budget;
  BackoffPolicy m_backoff;
  /// Timeout of one call.
  core::Duration m_callTimeout = std::chrono::seconds(2);
  /// Maximum duration of one long poll of a watch.
  core::Duration m_longPollWait = std::chrono::seconds(20);
  /// Kinds of which this host confirms in shorter intervals that it has the
  /// newest state, and the maximum duration of their long polls.
  std::vector<std::string> m_confirmedKinds;
  core::Duration m_confirmationWait = std::chrono::seconds(1);
  /// True if this host serves its watched kinds to other hosts.
  bool m_servesRelay = false;
  /// False if no upstream rejects orders with an outdated fencing token.
  bool m_upstreamsCheckFencingTokens = true;
  /// Hosts that may serve watched kinds before the host list is known.
  std::vector<core::Endpoint> m_bootstrapRelays;
  /// How long a starting host asks them before it asks the store itself.
  core::Duration m_bootstrapTime = std::chrono::milliseconds(1500);
  /// How long entries that expired during an outage are retained after it.
  core::Duration m_expiryGrace = std::chrono::milliseconds(1900);
};

/// Client of the platform's object API. Member functions are called on the
/// control thread unless stated otherwise, and callbacks run on it.
class ObjectStore : public std::enable_shared_from_this<ObjectStore>
{
public:
  using ReadCallback = std::function<void(absl::StatusOr<StoredObject>)>;
  using WriteCallback = std::function<void(absl::StatusOr<uint64_t>)>;
  using ListCallback =
    std::function<void(absl::StatusOr<std::vector<StoredObject>>)>;
  /// Receives true if the store executed the call.
  using DoneCallback = std::function<void(bool)>;
  using WatchCallback = std::function<void(std::span<const StoredObject>)>;
  /// Receives the kind and the revision of the last change that was missed.
  using MissedChangesCallback =
    std::function<void(std::string_view aKind, uint64_t aRevision)>;

  ObjectStore(kernel::Context& aContext, ObjectStoreSettings aSettings);

  /// Reads the latest version of an object; a missing object has version 0.
  /// Fails with Overload if the call budget is exhausted.
  void Read(ObjectKey aKey, CallPriority aPriority, ReadCallback aDone);
  /// Reads an object like Read, with the given freshness. Reads that may return
  /// stale data can be cheaper for the store.
  void ReadWithFreshness(Freshness aFreshness,
                         ObjectKey aKey,
                         CallPriority aPriority,
                         ReadCallback aDone);

  /// Lists the latest versions of all objects of the kind. Fails with Overload
  /// if the call budget is exhausted.
  void List(std::string aKind, CallPriority aPriority, ListCallback aDone);

  /// Writes the object if its version is still aExpectedVersion (0 if it must
  /// not exist). If the response is lost, the object is read back to find out
  /// whether the write took effect. The callback receives the new version, a
  /// VersionConflict, or a failure with Executed::Unknown if reading back did
  /// not settle the outcome.
  void Write(ObjectKey aKey,
             uint64_t aExpectedVersion,
             std::string aValue,
             CallPriority aPriority,
             WriteCallback aDone);

  /// Updates the status of an object that an operator wrote.
  void SetStatus(ObjectKey aKey, std::string_view aValue, DoneCallback aDone);

  /// Removes the object. This is best effort: the result is not reported, and
  /// a failed call is not retried.
  void Remove(ObjectKey aKey);

  /// Calls aOnChanged with all objects of the kind after each change, until the
  /// process exits. If the store no longer holds the history since the last
  /// revision, the kind is relisted.
  void Watch(std::string aKind, WatchCallback aOnChanged);

  /// Watches a kind like Watch, for objects that expire while their writers
  /// cannot reach the store: objects that are missing after an outage are
  /// retained for a grace period.
  void WatchWithExpiryGrace(std::string aKind, WatchCallback aOnChanged);

  /// Returns when this host last had the newest state of a watched kind; null
  /// if the kind is not watched. The time advances only after the callback of
  /// the watch has received that state.
  std::shared_ptr<const ConfirmedTime> FindConfirmedTime(
    std::string_view aKind) const;

  /// Sets the hosts that serve their watched kinds to this one, in order of
  /// preference. Watches poll them instead of the store while one responds.
  void SetWatchRelays(std::span<const core::Endpoint> aRelays);

  /// Sets the hosts that forward calls to the store while this host cannot
  /// reach it directly or the store rejects its calls with 429 or 503.
  void SetCallRelays(std::span<const core::Endpoint> aCallRelays);
  /// Forwards a call of another host to the store. Runs on a traffic thread.
  boost::asio::awaitable<void> ServeRelayedCall(http::Exchange& aExchange);

  /// Serves a watched kind to another host. Runs on a traffic thread.
  boost::asio::awaitable<void> ServeRelayedWatch(http::Exchange& aExchange);

  /// Relists a watched kind if its watch has not reached aRevision.
  void RelistIfOlderThan(std::string_view aKind, uint64_t aRevision);
  /// Calls aOnMissedChanges when a relist reveals changes that a watch had
  /// missed.
  void SubscribeMissedChanges(MissedChangesCallback aOnMissedChanges);

private:
  std::shared_ptr<KindWatch> FindWatch(std::string_view aKind) const;
  void NotifyMissedChanges(std::string_view aKind, uint64_t aRevision);
  void StartWatch(std::string aKind,
                  core::Duration aExpiryGrace,
                  WatchCallback aOnChanged);
  std::string NextWriteToken();
  void SendRequest(http::Request aRequest, DoneCallback aDone);

  kernel::Context& m_context;
  ObjectStoreSettings m_settings;
  CallBudgetState m_budget;
  std::shared_ptr<http::Clients> m_clients;
  std::shared_ptr<StoreTransport> m_transport;
  /// Guards m_watches, which only the control thread modifies: it is held for
  /// every modification and for reads on other threads.
  mutable std::mutex m_mutex;
  std::map<std::string, std::shared_ptr<KindWatch>, std::less<>> m_watches;
  std::vector<core::Endpoint> m_watchRelays;
  std::vector<MissedChangesCallback> m_missedChangesCallbacks;
  uint64_t m_writeCount = 0;
};

} // namespace heatherdeal::objectstore
