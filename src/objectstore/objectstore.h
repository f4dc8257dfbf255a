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
#include "objectstore/object.h"

namespace heatherdeal::objectstore {

class KindWatch;
class StorePath;

struct ObjectStoreSettings
{
  std::vector<core::Endpoint> m_endpoints;
  CallBudgetPolicy m_budget;
  BackoffPolicy m_backoff;
  core::Duration m_callTime = std::chrono::seconds(2);
  core::Duration m_watchTime = std::chrono::seconds(20);
  /// Other hosts may ask this one for what it watches.
  bool m_servesRelay = false;
  /// False if no upstream refuses orders with an old fencing number.
  bool m_upstreamsCheckFences = true;
  /// How long entries that lapsed during an outage are kept after it.
  core::Duration m_lapseGrace = std::chrono::milliseconds(1900);
};

/// Client of the platform's object API. Called on the control thread, and
/// calls back on it.
class ObjectStore : public std::enable_shared_from_this<ObjectStore>
{
public:
  using ReadCallback = std::function<void(absl::StatusOr<StoredObject>)>;
  using WriteCallback = std::function<void(absl::StatusOr<uint64_t>)>;
  /// True if the store has carried the call out.
  using DoneCallback = std::function<void(bool)>;
  using WatchCallback = std::function<void(std::span<const StoredObject>)>;
  using MissedCallback =
    std::function<void(std::string_view aKind, uint64_t aRevision)>;

  ObjectStore(kernel::Context& aContext, ObjectStoreSettings aSettings);

  /// An object that is not there is returned with version 0.
  void Read(ObjectKey aKey, CallPriority aPriority, ReadCallback aDone);
  /// The same; an answer that may lag costs the store less.
  void ReadAs(Freshness aFreshness,
              ObjectKey aKey,
              CallPriority aPriority,
              ReadCallback aDone);

  /// Writes if the object still has aIfVersion (0: does not exist). A reply
  /// lost after the write took effect is found out by reading back: the
  /// callback gets the version, a VersionConflict, or a failure with
  /// Executed::Unknown if even reading back failed.
  void Write(ObjectKey aKey,
             uint64_t aIfVersion,
             std::string aValue,
             CallPriority aPriority,
             WriteCallback aDone);

  /// Sets the status of an object that an operator wrote.
  void SetStatus(ObjectKey aKey, std::string_view aValue, DoneCallback aDone);

  /// Removes the object if the store can be reached; nobody waits for it.
  void Remove(ObjectKey aKey);

  /// Calls back with every object of the kind, whenever one has changed.
  /// Goes on until the process ends; a gap leads to a new list.
  void Watch(std::string aKind, WatchCallback aChanged);

  /// The same for objects that lapse while their writers cannot reach the
  /// store: those missing after an outage are kept for a grace time.
  void WatchLapsing(std::string aKind, WatchCallback aChanged);

  /// Hosts that pass on what they watch, in order of preference; this host
  /// asks them in place of the store while one of them answers.
  void SetRelays(std::span<const core::Endpoint> aRelays);

  /// Hosts by way of which the store is reached when it turns this one away.
  void SetPeers(std::span<const core::Endpoint> aPeers);
  /// Carries a call of another host to the store.
  boost::asio::awaitable<void> ServePeer(http::Exchange& aExchange);

  /// Answers other hosts that ask for a kind that is watched here.
  boost::asio::awaitable<void> ServeRelay(http::Exchange& aExchange);

  /// Lists a watched kind anew, if its watch has not come to that revision.
  void Refresh(std::string_view aKind, uint64_t aRevision);
  /// Calls back when listing anew has shown changes that a watch had missed.
  void SubscribeMissed(MissedCallback aMissed);

private:
  std::shared_ptr<KindWatch> FindWatch(std::string_view aKind) const;
  void AnnounceMissed(std::string_view aKind, uint64_t aRevision);
  void StartWatch(std::string aKind,
                  core::Duration aLapseGrace,
                  WatchCallback aChanged);
  std::string NextToken();
  void SendPlain(http::Request aRequest, DoneCallback aDone);

  kernel::Context& m_context;
  ObjectStoreSettings m_settings;
  CallBudgetState m_budget;
  std::shared_ptr<http::Clients> m_clients;
  std::shared_ptr<StorePath> m_path;
  /// Held while m_watches changes, or is read off the control thread.
  mutable std::mutex m_mutex;
  std::map<std::string, std::shared_ptr<KindWatch>, std::less<>> m_watches;
  std::vector<core::Endpoint> m_relays;
  std::vector<MissedCallback> m_missed;
  uint64_t m_writes = 0;
};

} // namespace heatherdeal::objectstore
