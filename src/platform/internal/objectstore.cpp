#include "platform/objectstore.h"

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/redirect_error.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"

#include "core/failure.h"
#include "kernel/sleep.h"
#include "platform/internal/objectcalls.h"

namespace heatherdeal::platform {

namespace {

namespace asio = boost::asio;

// Store calls share one loop, so that one client pools their connections.
constexpr size_t kLoopIndex = 0;
constexpr core::Duration kWatchGrace = std::chrono::seconds(2);

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
    aContext.Metrics().Get("platform.write_reply_lost").Add();
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
  ObjectStore::WatchCallback m_changed;
};

asio::awaitable<void>
RunWatch(kernel::Context& aContext, http::Client& aClient, WatchTask aTask)
{
  // None before the first list; the store's own revisions begin at 0.
  std::optional<uint64_t> revision;
  size_t endpoint = 0;
  BackoffState backoff;
  backoff.m_seed =
    std::hash<std::string>()(aContext.Self().m_host + aTask.m_kind);
  for (;;) {
    const core::Duration wait =
      revision ? aTask.m_watchTime : core::Duration::zero();
    const core::Instant deadline =
      kernel::Now() + wait + std::max(aTask.m_callTime, kWatchGrace);
    const core::Endpoint peer =
      aTask.m_endpoints[endpoint % aTask.m_endpoints.size()];
    absl::StatusOr<ObjectList> list = co_await CallList(
      aClient, peer, aTask.m_kind, revision.value_or(0), wait, deadline);
    if (!list.ok()) {
      aContext.Metrics().Get("platform.watch_failed").Add();
      endpoint += 1;
      if (absl::IsOutOfRange(list.status())) {
        revision.reset();
      }
      co_await kernel::SleepUntil(
        NextTry(backoff, aTask.m_backoff, kernel::Now()));
      continue;
    }
    if (revision && list->m_revision == *revision) {
      backoff.m_failures = 0;
      continue;
    }
    // A revision below the one seen comes from a replica that lags.
    if (revision && list->m_revision < *revision) {
      aContext.Metrics().Get("platform.stale_list").Add();
      endpoint += 1;
      co_await kernel::SleepUntil(
        NextTry(backoff, aTask.m_backoff, kernel::Now()));
      continue;
    }
    backoff.m_failures = 0;
    revision = list->m_revision;
    auto held =
      std::make_shared<std::vector<StoredObject>>(std::move(list->m_objects));
    aContext.Control().Post(
      [changed = aTask.m_changed, held] { changed(*held); });
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
    m_context.Metrics().Get("platform.over_budget").Add();
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
    m_context.Metrics().Get("platform.over_budget").Add();
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
ObjectStore::Watch(std::string aKind, WatchCallback aChanged)
{
  WatchTask task{ std::move(aKind),       m_settings.m_endpoints,
                  m_settings.m_backoff,   m_settings.m_callTime,
                  m_settings.m_watchTime, std::move(aChanged) };
  asio::co_spawn(
    m_context.Traffic().Loop(kLoopIndex),
    RunWatch(m_context, m_clients->For(kLoopIndex), std::move(task)),
    asio::detached);
}

} // namespace heatherdeal::platform
