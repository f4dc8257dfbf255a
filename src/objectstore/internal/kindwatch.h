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

/// A kind as it is passed on to other hosts.
struct RelayedKind
{
  uint64_t m_revision = 0;
  /// The list in the own encoding.
  std::string m_text;
};

/// What the watch of one kind works with.
struct WatchTask
{
  std::string m_kind;
  std::vector<core::Endpoint> m_endpoints;
  BackoffPolicy m_backoff;
  core::Duration m_callTime{};
  core::Duration m_watchTime{};
  core::Duration m_lapseGrace{};
  /// Both are called on the control thread.
  ObjectStore::WatchCallback m_changed;
  ObjectStore::MissedCallback m_missed;
};

/// Asked at the object API itself.
struct FromStore
{};

/// Asked at a host that watches the kind and passes it on.
struct FromRelay
{
  core::Endpoint m_relay;
};

using WatchSource = std::variant<FromStore, FromRelay>;

/// Keeps one kind up to date. Runs on one traffic loop.
class KindWatch : public std::enable_shared_from_this<KindWatch>
{
public:
  KindWatch(kernel::Context& aContext,
            http::Client& aClient,
            std::shared_ptr<StorePath> aPath,
            WatchTask aTask);

  /// Watches until the process ends.
  boost::asio::awaitable<void> Run();

  /// Lists the kind anew unless aRevision is known already, or a relay will
  /// tell of it.
  void Refresh(uint64_t aRevision);

  /// Hosts to ask in place of the store; any thread.
  void SetRelays(std::vector<core::Endpoint> aRelays);

  /// The kind as other hosts get it, or nothing while it may be out of date;
  /// any thread.
  std::shared_ptr<const RelayedKind> Snapshot() const;
  /// Cancels aTimer, once, when the kind changes; any thread.
  void WakeOnChange(std::shared_ptr<boost::asio::steady_timer> aTimer);

private:
  using Objects = std::map<std::string, StoredObject>;

  WatchSource NextSource();
  ListRequest NextRequest(const WatchSource& aSource) const;
  StoreExchange ExchangeOf(const WatchSource& aSource);
  boost::asio::awaitable<absl::StatusOr<ObjectList>> Ask(
    const WatchSource& aSource,
    ListRequest aRequest);
  void OnRelayFailure(const FromRelay& aSource, const absl::Status& aStatus);
  bool TakesUnchanged(const WatchSource& aSource, const ObjectList& aList);
  void Publish();
  boost::asio::awaitable<void> Pause();
  void OnFailure(const absl::Status& aStatus);
  /// False if the list is older than what is known.
  bool Merge(ObjectList aList);
  void KeepLapsed(const ObjectList& aList);
  void DropLapsed();
  void Announce();
  void NoteMissed(const Objects& aBefore);
  void NoteReachable(const absl::Status& aStatus);

  kernel::Context& m_context;
  http::Client& m_client;
  std::shared_ptr<StorePath> m_path;
  WatchTask m_task;
  BackoffState m_backoff;
  size_t m_endpoint = 0;
  std::optional<uint64_t> m_revision;
  Objects m_objects;
  /// Objects that lapsed during an outage, and until when they are kept.
  Objects m_lapsed;
  core::Instant m_lapsedUntil{};
  std::optional<core::Instant> m_lostAt;
  std::shared_ptr<http::CallAbort> m_abort;
  bool m_refreshing = false;
  bool m_relayed = false;
  kernel::Published<std::vector<core::Endpoint>> m_relays;
  /// Relays that failed, and until when they are left out.
  std::map<core::Endpoint, core::Instant> m_failedRelays;
  mutable std::mutex m_mutex;
  std::shared_ptr<const RelayedKind> m_snapshot;
  std::vector<std::shared_ptr<boost::asio::steady_timer>> m_waiting;
};

} // namespace heatherdeal::objectstore
