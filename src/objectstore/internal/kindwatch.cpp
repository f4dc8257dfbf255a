#include "objectstore/internal/kindwatch.h"

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

} // namespace

KindWatch::KindWatch(kernel::Context& aContext,
                     http::Client& aClient,
                     WatchTask aTask)
  : m_context(aContext)
  , m_client(aClient)
  , m_task(std::move(aTask))
{
  m_backoff.m_seed =
    std::hash<std::string>()(m_context.Self().m_host + m_task.m_kind);
}

ListRequest
KindWatch::NextRequest() const
{
  ListRequest request{ m_task.m_kind, m_revision, "", {} };
  if (m_refreshing) {
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

asio::awaitable<absl::StatusOr<ObjectList>>
KindWatch::Ask(ListRequest aRequest)
{
  const core::Instant deadline =
    kernel::Now() + aRequest.m_wait + std::max(m_task.m_callTime, kWatchGrace);
  const core::Endpoint peer =
    m_task.m_endpoints[m_endpoint % m_task.m_endpoints.size()];
  m_abort = std::make_shared<http::CallAbort>();
  absl::StatusOr<ObjectList> list =
    co_await CallList(m_client, peer, std::move(aRequest), deadline, m_abort);
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
  if (known || m_refreshing) {
    return;
  }
  m_refreshing = true;
  if (m_abort) {
    m_abort->Request();
  }
}

asio::awaitable<void>
KindWatch::Run()
{
  const auto self = shared_from_this();
  for (;;) {
    const ListRequest request = NextRequest();
    const bool refreshes = m_refreshing && m_revision.has_value();
    const bool first = !m_revision;
    absl::StatusOr<ObjectList> list = co_await Ask(request);
    const bool interrupted = m_abort->IsRequested();
    if (!list.ok() && interrupted) {
      continue;
    }
    if (!interrupted) {
      m_refreshing = false;
    }
    if (!list.ok()) {
      OnFailure(list.status());
      co_await Pause();
      continue;
    }
    const bool afterOutage = m_lostAt.has_value();
    NoteReachable(list.status());
    if (afterOutage && list->m_isWhole) {
      KeepLapsed(*list);
    }
    DropLapsed();
    m_backoff.m_failures = 0;
    const bool unchanged =
      !first && !list->m_isWhole && list->m_revision == *m_revision;
    if (unchanged) {
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
}

void
KindWatch::NoteMissed(const Objects& aBefore)
{
  // The last change that is new here; a removal leaves no revision of its own.
  uint64_t changedAt = 0;
  for (const auto& [name, object] : m_objects) {
    const auto before = aBefore.find(name);
    const bool changed = before == aBefore.end() ||
                         before->second.m_version != object.m_version;
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
  m_context.Control().Post(
    [missed = m_task.m_missed, kind = m_task.m_kind, changedAt] {
      missed(kind, changedAt);
    });
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
    kernel::LogEvent(
      kernel::LogLevel::Info,
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
