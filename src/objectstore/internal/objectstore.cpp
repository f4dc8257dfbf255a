#include "objectstore/objectstore.h"

#include <map>

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/redirect_error.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"

#include "core/failure.h"
#include "http/exchange.h"
#include "kernel/eventlog.h"
#include "kernel/sleep.h"
#include "objectstore/internal/objectcalls.h"

namespace heatherdeal::objectstore {

namespace {

namespace asio = boost::asio;

// Store calls share one loop, so that one client pools their connections.
constexpr size_t kLoopIndex = 0;
constexpr core::Duration kWatchGrace = std::chrono::seconds(2);
// Waits of a watch while lapsed objects are kept.
constexpr core::Duration kLeastWait = std::chrono::milliseconds(10);
constexpr core::Duration kMostWait = std::chrono::seconds(2);

template<typename Callback, typename Result>
void
CallBack(kernel::Context& aContext, Callback aDone, Result aResult)
{
  auto held = std::make_shared<Result>(std::move(aResult));
  aContext.Control().Post(
    [aDone = std::move(aDone), held] { aDone(std::move(*held)); });
}

bool
MayHaveTakenEffect(const absl::Status& aStatus)
{
  const std::optional<core::Failure> failure = core::FromStatus(aStatus);
  return !failure || core::ExecutedOf(*failure) != core::Executed::No;
}

asio::awaitable<void>
RunRead(kernel::Context& aContext,
        http::Client& aClient,
        core::Endpoint aPeer,
        ObjectKey aKey,
        core::Instant aDeadline,
        ObjectStore::ReadCallback aDone)
{
  absl::StatusOr<StoredObject> object =
    co_await CallRead(aClient, aPeer, aKey, aDeadline);
  CallBack(aContext, std::move(aDone), std::move(object));
}

asio::awaitable<void>
RunRemove(kernel::Context& aContext,
          http::Client& aClient,
          core::Endpoint aPeer,
          ObjectKey aKey,
          core::Instant aDeadline)
{
  const absl::StatusOr<bool> removed =
    co_await CallRemove(aClient, aPeer, aKey, aDeadline);
  if (!removed.ok() || !*removed) {
    aContext.Metrics().Get("objectstore.remove_failed").Add();
  }
}

/// Reads back what a write without a reply has left.
asio::awaitable<absl::StatusOr<uint64_t>>
ReadBack(http::Client& aClient,
         core::Endpoint aPeer,
         const WriteRequest& aWrite,
         absl::Status aUnknown,
         core::Instant aDeadline)
{
  const absl::StatusOr<StoredObject> found =
    co_await CallRead(aClient, aPeer, aWrite.m_key, aDeadline);
  if (!found.ok()) {
    co_return aUnknown;
  }
  if (found->m_writeToken == aWrite.m_token) {
    co_return found->m_version;
  }
  if (found->m_version != aWrite.m_ifVersion) {
    co_return core::ToStatus(
      core::VersionConflict{ aWrite.m_ifVersion, found->m_version });
  }
  // The write may still be under way to the store.
  co_return aUnknown;
}

asio::awaitable<void>
RunWrite(kernel::Context& aContext,
         http::Client& aClient,
         core::Endpoint aPeer,
         WriteRequest aWrite,
         core::Duration aCallTime,
         ObjectStore::WriteCallback aDone)
{
  absl::StatusOr<uint64_t> version =
    co_await CallWrite(aClient, aPeer, aWrite, kernel::Now() + aCallTime);
  const bool unknown = !version.ok() && !absl::IsAborted(version.status()) &&
                       MayHaveTakenEffect(version.status());
  if (unknown) {
    aContext.Metrics().Get("objectstore.write_reply_lost").Add();
    const absl::Status failure = version.status();
    version = co_await ReadBack(
      aClient, aPeer, aWrite, failure, kernel::Now() + aCallTime);
  }
  CallBack(aContext, std::move(aDone), std::move(version));
}

/// What the watch loop of one kind works with.
struct WatchTask
{
  std::string m_kind;
  std::vector<core::Endpoint> m_endpoints;
  BackoffPolicy m_backoff;
  core::Duration m_callTime{};
  core::Duration m_watchTime{};
  core::Duration m_lapseGrace{};
  ObjectStore::WatchCallback m_changed;
};

/// A kind as the watch has brought it up to date.
struct WatchedKind
{
  std::optional<uint64_t> m_revision;
  std::map<std::string, StoredObject> m_objects;
  /// Objects that lapsed during an outage, and until when they are kept.
  std::map<std::string, StoredObject> m_lapsed;
  core::Instant m_lapsedUntil{};
};

/// Keeps what the store no longer lists after an outage.
void
KeepLapsed(WatchedKind& aKind, const ObjectList& aList, core::Instant aUntil)
{
  aKind.m_lapsed = aKind.m_objects;
  for (const StoredObject& object : aList.m_objects) {
    aKind.m_lapsed.erase(object.m_key.m_name);
  }
  aKind.m_lapsedUntil = aUntil;
}

/// False if the list is older than what is known.
bool
Merge(WatchedKind& aKind, ObjectList aList)
{
  // A revision below the one seen comes from a replica that lags.
  if (aKind.m_revision && aList.m_revision < *aKind.m_revision) {
    return false;
  }
  aKind.m_revision = aList.m_revision;
  if (aList.m_isWhole) {
    aKind.m_objects.clear();
  }
  for (const std::string& name : aList.m_removed) {
    aKind.m_objects.erase(name);
  }
  for (StoredObject& object : aList.m_objects) {
    const std::string name = object.m_key.m_name;
    aKind.m_lapsed.erase(name);
    aKind.m_objects.insert_or_assign(name, std::move(object));
  }
  return true;
}

void
Announce(kernel::Context& aContext,
         const WatchTask& aTask,
         const WatchedKind& aKind)
{
  auto objects = std::make_shared<std::vector<StoredObject>>();
  for (const auto& [name, object] : aKind.m_objects) {
    objects->push_back(object);
  }
  for (const auto& [name, object] : aKind.m_lapsed) {
    objects->push_back(object);
  }
  aContext.Control().Post(
    [changed = aTask.m_changed, objects] { changed(*objects); });
}

/// Notes once that the store was lost or is back.
void
NoteReachable(kernel::Context& aContext,
              const WatchTask& aTask,
              std::optional<core::Instant>& aLostAt,
              const absl::Status& aStatus)
{
  const core::Instant now = kernel::Now();
  if (!aStatus.ok() && !aLostAt) {
    aLostAt = now;
    kernel::LogEvent(kernel::LogLevel::Warning,
                     "objectstore",
                     "dependency-lost",
                     { { "kind", aTask.m_kind },
                       { "reason", http::DescribeStatus(aStatus) } });
  }
  if (aStatus.ok() && aLostAt) {
    kernel::LogEvent(
      kernel::LogLevel::Info,
      "objectstore",
      "dependency-regained",
      { { "kind", aTask.m_kind },
        { "lost_ms", kernel::Milliseconds(now - *aLostAt) } });
    aLostAt.reset();
  }
  aContext.Metrics()
    .Get(aStatus.ok() ? "objectstore.watch_answered"
                      : "objectstore.watch_failed")
    .Add();
}

asio::awaitable<void>
RunWatch(kernel::Context& aContext, http::Client& aClient, WatchTask aTask)
{
  WatchedKind kind;
  size_t endpoint = 0;
  BackoffState backoff;
  std::optional<core::Instant> lostAt;
  backoff.m_seed =
    std::hash<std::string>()(aContext.Self().m_host + aTask.m_kind);
  for (;;) {
    ListRequest request{ aTask.m_kind, kind.m_revision, "", {} };
    request.m_wait =
      kind.m_revision ? aTask.m_watchTime : core::Duration::zero();
    if (!kind.m_lapsed.empty()) {
      request.m_wait =
        std::clamp(kind.m_lapsedUntil - kernel::Now(), kLeastWait, kMostWait);
    }
    const core::Instant deadline =
      kernel::Now() + request.m_wait + std::max(aTask.m_callTime, kWatchGrace);
    const core::Endpoint peer =
      aTask.m_endpoints[endpoint % aTask.m_endpoints.size()];
    const bool first = !kind.m_revision;
    const bool afterOutage = lostAt.has_value();
    absl::StatusOr<ObjectList> list =
      co_await CallList(aClient, peer, request, deadline);
    NoteReachable(aContext, aTask, lostAt, list.status());
    if (!list.ok()) {
      endpoint += 1;
      const bool gap = absl::IsOutOfRange(list.status());
      if (gap || aTask.m_lapseGrace > core::Duration::zero()) {
        kind.m_revision.reset();
      }
      co_await kernel::SleepUntil(
        NextTry(backoff, aTask.m_backoff, kernel::Now()));
      continue;
    }
    const bool keepLapsed = afterOutage && list->m_isWhole &&
                            aTask.m_lapseGrace > core::Duration::zero();
    if (keepLapsed) {
      KeepLapsed(kind, *list, kernel::Now() + aTask.m_lapseGrace);
    }
    const bool lapse =
      !kind.m_lapsed.empty() && kind.m_lapsedUntil <= kernel::Now();
    if (lapse) {
      kind.m_lapsed.clear();
      Announce(aContext, aTask, kind);
    }
    const bool unchanged = !first && list->m_revision == *kind.m_revision;
    if (unchanged) {
      backoff.m_failures = 0;
      continue;
    }
    if (!Merge(kind, *std::move(list))) {
      aContext.Metrics().Get("objectstore.stale_list").Add();
      endpoint += 1;
      co_await kernel::SleepUntil(
        NextTry(backoff, aTask.m_backoff, kernel::Now()));
      continue;
    }
    backoff.m_failures = 0;
    Announce(aContext, aTask, kind);
  }
}

} // namespace

ObjectStore::ObjectStore(kernel::Context& aContext,
                         ObjectStoreSettings aSettings)
  : m_context(aContext)
  , m_settings(std::move(aSettings))
  , m_clients(aContext.Get<http::Clients>())
{
  m_budget.m_available = m_settings.m_budget.m_burst;
  m_budget.m_filledAt = kernel::Now();
}

std::string
ObjectStore::NextToken()
{
  const auto now = kernel::Now().time_since_epoch().count();
  return m_context.Self().m_host + "-" + std::to_string(now) + "-" +
         std::to_string(++m_writes);
}

core::Endpoint
ObjectStore::NextEndpoint()
{
  return m_settings
    .m_endpoints[m_nextEndpoint++ % m_settings.m_endpoints.size()];
}

void
ObjectStore::Read(ObjectKey aKey, CallPriority aPriority, ReadCallback aDone)
{
  if (!TakeCall(m_budget, m_settings.m_budget, aPriority, kernel::Now())) {
    m_context.Metrics().Get("objectstore.over_budget").Add();
    aDone(core::ToStatus(core::Overload{ "object API calls" }));
    return;
  }
  asio::co_spawn(m_context.Traffic().Loop(kLoopIndex),
                 RunRead(m_context,
                         m_clients->For(kLoopIndex),
                         NextEndpoint(),
                         std::move(aKey),
                         kernel::Now() + m_settings.m_callTime,
                         std::move(aDone)),
                 asio::detached);
}

void
ObjectStore::Write(ObjectKey aKey,
                   uint64_t aIfVersion,
                   std::string aValue,
                   CallPriority aPriority,
                   WriteCallback aDone)
{
  if (aValue.size() > kMaxValueBytes) {
    aDone(core::ToStatus(core::InvalidInput{ aKey.m_kind + "/" + aKey.m_name,
                                             "a value of at most 1 MiB" }));
    return;
  }
  if (!TakeCall(m_budget, m_settings.m_budget, aPriority, kernel::Now())) {
    m_context.Metrics().Get("objectstore.over_budget").Add();
    aDone(core::ToStatus(core::Overload{ "object API calls" }));
    return;
  }
  WriteRequest write{
    std::move(aKey), aIfVersion, std::move(aValue), NextToken()
  };
  asio::co_spawn(m_context.Traffic().Loop(kLoopIndex),
                 RunWrite(m_context,
                          m_clients->For(kLoopIndex),
                          NextEndpoint(),
                          std::move(write),
                          m_settings.m_callTime,
                          std::move(aDone)),
                 asio::detached);
}

void
ObjectStore::Remove(ObjectKey aKey)
{
  asio::co_spawn(m_context.Traffic().Loop(kLoopIndex),
                 RunRemove(m_context,
                           m_clients->For(kLoopIndex),
                           NextEndpoint(),
                           std::move(aKey),
                           kernel::Now() + m_settings.m_callTime),
                 asio::detached);
}

void
ObjectStore::Watch(std::string aKind, WatchCallback aChanged)
{
  StartWatch(std::move(aKind), core::Duration::zero(), std::move(aChanged));
}

void
ObjectStore::WatchLapsing(std::string aKind, WatchCallback aChanged)
{
  StartWatch(std::move(aKind), m_settings.m_lapseGrace, std::move(aChanged));
}

void
ObjectStore::StartWatch(std::string aKind,
                        core::Duration aLapseGrace,
                        WatchCallback aChanged)
{
  WatchTask task{ std::move(aKind),       m_settings.m_endpoints,
                  m_settings.m_backoff,   m_settings.m_callTime,
                  m_settings.m_watchTime, aLapseGrace,
                  std::move(aChanged) };
  asio::co_spawn(
    m_context.Traffic().Loop(kLoopIndex),
    RunWatch(m_context, m_clients->For(kLoopIndex), std::move(task)),
    asio::detached);
}

} // namespace heatherdeal::objectstore
