#include "objectstore/internal/kindwatch.h"

#include "boost/asio/post.hpp"

#include "core/failure.h"
#include "http/exchange.h"
#include "kernel/eventlog.h"
#include "kernel/sleep.h"
#include "objectstore/internal/objectcalls.h"

namespace heatherdeal::objectstore {

namespace {

namespace asio = boost::asio;

constexpr core::Duration kWatchGrace = std::chrono::seconds(2);
// Waits of a watch while lapsed objects are kept.
constexpr core::Duration kLeastWait = std::chrono::milliseconds(10);
constexpr core::Duration kMostWait = std::chrono::seconds(2);
constexpr core::Duration kGatherTime = std::chrono::milliseconds(200);
// A relay that has stopped is noticed within the sum of both.
constexpr core::Duration kRelayWait = std::chrono::milliseconds(700);
constexpr core::Duration kRelayGrace = std::chrono::milliseconds(400);
constexpr core::Duration kRelayRest = std::chrono::seconds(3);

} // namespace

KindWatch::KindWatch(kernel::Context& aContext,
                     http::Client& aClient,
                     std::shared_ptr<StorePath> aPath,
                     WatchTask aTask)
  : m_context(aContext)
  , m_client(aClient)
  , m_path(std::move(aPath))
  , m_task(std::move(aTask))
{
  m_backoff.m_seed =
    std::hash<std::string>()(m_context.Self().m_host + m_task.m_kind);
}

WatchSource
KindWatch::NextSource()
{
  // The first list comes from the store: it names the relays.
  if (!m_revision) {
    return FromStore{};
  }
  const core::Instant now = kernel::Now();
  const auto relays = m_relays.Read();
  for (const core::Endpoint& relay : *relays) {
    const auto failed = m_failedRelays.find(relay);
    if (failed == m_failedRelays.end() || failed->second <= now) {
      return FromRelay{ relay };
    }
  }
  return FromStore{};
}

ListRequest
KindWatch::NextRequest(const WatchSource& aSource) const
{
  ListRequest request{ m_task.m_kind, m_revision, "", {} };
  if (std::holds_alternative<FromRelay>(aSource)) {
    request.m_wait = kRelayWait;
    return request;
  }
  if (m_refreshing || m_lostAt) {
    request.m_after.reset();
  }
  if (request.m_after) {
    request.m_wait = m_task.m_watchTime;
  }
  if (request.m_after && !m_lapsed.empty()) {
    request.m_wait =
      std::clamp(m_lapsedUntil - kernel::Now(), kLeastWait, kMostWait);
  }
  return request;
}

StoreExchange
KindWatch::ExchangeOf(const WatchSource& aSource)
{
  const auto* relay = std::get_if<FromRelay>(&aSource);
  if (relay == nullptr && m_lostAt) {
    // Listed by way of another host while the store turns this one away.
    return [path = m_path](http::Request aRequest, core::Instant aDeadline) {
      return path->Send(std::move(aRequest), aDeadline);
    };
  }
  const core::Endpoint peer =
    relay != nullptr
      ? relay->m_relay
      : m_task.m_endpoints[m_endpoint % m_task.m_endpoints.size()];
  return [this, peer](http::Request aRequest, core::Instant aDeadline) {
    return m_client.Call(
      peer, std::move(aRequest), http::Reuse::Allowed, aDeadline, m_abort);
  };
}

asio::awaitable<absl::StatusOr<ObjectList>>
KindWatch::Ask(const WatchSource& aSource, ListRequest aRequest)
{
  m_abort = std::make_shared<http::CallAbort>();
  const bool isRelay = std::holds_alternative<FromRelay>(aSource);
  const core::Duration patience =
    isRelay ? kRelayGrace : std::max(m_task.m_callTime, kWatchGrace);
  const core::Instant deadline = kernel::Now() + aRequest.m_wait + patience;
  const ObjectCodec& codec = isRelay ? OwnCodec() : CodecInUse();
  const StoreExchange exchange = ExchangeOf(aSource);
  absl::StatusOr<ObjectList> list =
    co_await CallList(exchange, codec, std::move(aRequest), deadline);
  co_return list;
}

asio::awaitable<void>
KindWatch::Pause()
{
  m_endpoint += 1;
  co_await kernel::SleepUntil(
    NextTry(m_backoff, m_task.m_backoff, kernel::Now()));
}

void
KindWatch::Refresh(uint64_t aRevision)
{
  const bool known = m_revision && *m_revision >= aRevision;
  if (known || m_refreshing || m_relayed) {
    return;
  }
  m_refreshing = true;
  if (m_abort) {
    m_abort->RequestAbort();
  }
}

asio::awaitable<void>
KindWatch::Run()
{
  const auto self = shared_from_this();
  for (;;) {
    const WatchSource source = NextSource();
    const ListRequest request = NextRequest(source);
    const auto* relay = std::get_if<FromRelay>(&source);
    m_relayed = relay != nullptr;
    const bool refreshes = m_refreshing && m_revision.has_value();
    absl::StatusOr<ObjectList> list = co_await Ask(source, request);
    const bool interrupted = m_abort->IsAbortRequested();
    if (!list.ok() && interrupted) {
      continue;
    }
    if (!interrupted) {
      m_refreshing = false;
    }
    if (!list.ok() && relay != nullptr) {
      OnRelayFailure(*relay, list.status());
      continue;
    }
    if (!list.ok()) {
      OnFailure(list.status());
      co_await Pause();
      continue;
    }
    const bool afterOutage = m_lostAt.has_value();
    NoteReachable(list.status());
    if (afterOutage && list->m_isWhole && relay == nullptr) {
      KeepLapsed(*list);
    }
    DropLapsed();
    m_backoff.m_failures = 0;
    if (TakesUnchanged(source, *list)) {
      continue;
    }
    const Objects before = refreshes ? m_objects : Objects{};
    if (!Merge(*std::move(list))) {
      m_context.Metrics().Get("objectstore.stale_list").Add();
      co_await Pause();
      continue;
    }
    if (refreshes) {
      NoteMissed(before);
    }
    Announce();
    if (relay == nullptr && m_task.m_lapseGrace > core::Duration::zero()) {
      // Hosts change often and one by one: several changes make one call.
      co_await kernel::SleepUntil(kernel::Now() + kGatherTime);
    }
  }
}

bool
KindWatch::TakesUnchanged(const WatchSource& aSource, const ObjectList& aList)
{
  if (!m_revision) {
    return false;
  }
  if (std::holds_alternative<FromRelay>(aSource)) {
    // A relay that has seen less than this host has nothing to tell.
    return aList.m_revision <= *m_revision;
  }
  return !aList.m_isWhole && aList.m_revision == *m_revision;
}

void
KindWatch::OnRelayFailure(const FromRelay& aSource, const absl::Status& aStatus)
{
  m_failedRelays[aSource.m_relay] = kernel::Now() + kRelayRest;
  m_context.Metrics().Get("objectstore.relay_failed").Add();
  kernel::LogEvent(kernel::LogLevel::Info,
                   "objectstore",
                   "relay-failed",
                   { { "kind", m_task.m_kind },
                     { "relay", http::ToText(aSource.m_relay) },
                     { "reason", http::DescribeStatus(aStatus) } });
}

void
KindWatch::SetRelays(std::vector<core::Endpoint> aRelays)
{
  m_relays.Publish(std::move(aRelays));
}

std::shared_ptr<const RelayedKind>
KindWatch::Snapshot() const
{
  const std::scoped_lock lock(m_mutex);
  return m_snapshot;
}

void
KindWatch::WakeOnChange(std::shared_ptr<asio::steady_timer> aTimer)
{
  const std::scoped_lock lock(m_mutex);
  m_waiting.push_back(std::move(aTimer));
}

void
KindWatch::Publish()
{
  std::shared_ptr<RelayedKind> kind;
  if (m_revision && !m_lostAt) {
    kind = std::make_shared<RelayedKind>();
    kind->m_revision = *m_revision;
    std::vector<StoredObject> objects;
    for (const auto& [name, object] : m_objects) {
      objects.push_back(object);
    }
    for (const auto& [name, object] : m_lapsed) {
      objects.push_back(object);
    }
    kind->m_text = EncodeOwnList(*m_revision, objects);
  }
  std::vector<std::shared_ptr<asio::steady_timer>> waiting;
  {
    const std::scoped_lock lock(m_mutex);
    m_snapshot = std::move(kind);
    waiting.swap(m_waiting);
  }
  for (const auto& timer : waiting) {
    asio::post(timer->get_executor(), [timer] { timer->cancel(); });
  }
}

void
KindWatch::OnFailure(const absl::Status& aStatus)
{
  if (absl::IsOutOfRange(aStatus)) {
    // The history is gone, the store is not.
    m_revision.reset();
    m_context.Metrics().Get("objectstore.watch_gaps").Add();
    return;
  }
  NoteReachable(aStatus);
  // Others are not told of a kind that may be out of date.
  Publish();
  if (m_task.m_lapseGrace > core::Duration::zero()) {
    m_revision.reset();
  }
}

bool
KindWatch::Merge(ObjectList aList)
{
  // A revision below the one seen comes from a replica that lags.
  if (m_revision && aList.m_revision < *m_revision) {
    return false;
  }
  m_revision = aList.m_revision;
  if (aList.m_isWhole) {
    m_objects.clear();
  }
  for (const std::string& name : aList.m_removed) {
    m_objects.erase(name);
  }
  for (StoredObject& object : aList.m_objects) {
    const std::string name = object.m_key.m_name;
    m_lapsed.erase(name);
    m_objects.insert_or_assign(name, std::move(object));
  }
  return true;
}

void
KindWatch::KeepLapsed(const ObjectList& aList)
{
  if (m_task.m_lapseGrace == core::Duration::zero()) {
    return;
  }
  m_lapsed = m_objects;
  for (const StoredObject& object : aList.m_objects) {
    m_lapsed.erase(object.m_key.m_name);
  }
  m_lapsedUntil = kernel::Now() + m_task.m_lapseGrace;
}

void
KindWatch::DropLapsed()
{
  if (m_lapsed.empty() || kernel::Now() < m_lapsedUntil) {
    return;
  }
  m_lapsed.clear();
  // A new list has a revision of its own, which those that are served from
  // here tell from the one before.
  m_refreshing = true;
  Announce();
}

void
KindWatch::Announce()
{
  auto objects = std::make_shared<std::vector<StoredObject>>();
  for (const auto& [name, object] : m_objects) {
    objects->push_back(object);
  }
  for (const auto& [name, object] : m_lapsed) {
    objects->push_back(object);
  }
  m_context.Control().Post(
    [changed = m_task.m_changed, objects] { changed(*objects); });
  Publish();
}

void
KindWatch::NoteMissed(const Objects& aBefore)
{
  // The last change that is new here; a removal leaves no revision of its own.
  uint64_t changedAt = 0;
  for (const auto& [name, object] : m_objects) {
    const auto before = aBefore.find(name);
    const bool changed =
      before == aBefore.end() || before->second.m_version != object.m_version;
    if (changed) {
      changedAt = std::max(changedAt, object.m_version);
    }
  }
  for (const auto& [name, object] : aBefore) {
    if (!m_objects.contains(name)) {
      changedAt = *m_revision;
    }
  }
  if (changedAt == 0) {
    return;
  }
  kernel::LogEvent(kernel::LogLevel::Info,
                   "objectstore",
                   "changes-missed",
                   { { "kind", m_task.m_kind }, { "revision", changedAt } });
  m_context.Control().Post([missed = m_task.m_missed,
                            kind = m_task.m_kind,
                            changedAt] { missed(kind, changedAt); });
}

void
KindWatch::NoteReachable(const absl::Status& aStatus)
{
  const core::Instant now = kernel::Now();
  if (!aStatus.ok() && !m_lostAt) {
    m_lostAt = now;
    kernel::LogEvent(kernel::LogLevel::Warning,
                     "objectstore",
                     "dependency-lost",
                     { { "kind", m_task.m_kind },
                       { "reason", http::DescribeStatus(aStatus) } });
  }
  if (aStatus.ok() && m_lostAt) {
    kernel::LogEvent(kernel::LogLevel::Info,
                     "objectstore",
                     "dependency-regained",
                     { { "kind", m_task.m_kind },
                       { "lost_ms", kernel::Milliseconds(now - *m_lostAt) } });
    m_lostAt.reset();
  }
  m_context.Metrics()
    .Get(aStatus.ok() ? "objectstore.watch_answered"
                      : "objectstore.watch_failed")
    .Add();
}

} // namespace heatherdeal::objectstore
