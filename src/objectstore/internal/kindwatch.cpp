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

// Time allowed for a response beyond the requested long-poll wait.
constexpr core::Duration kStoreResponseGrace = std::chrono::seconds(2);
// Bounds on the long-poll wait while expired objects are retained.
constexpr core::Duration kMinWaitWhileRetaining = std::chrono::milliseconds(10);
constexpr core::Duration kMaxWaitWhileRetaining = std::chrono::seconds(2);
// Delay after a change, so that several changes are fetched by one call.
constexpr core::Duration kChangeBatchingDelay = std::chrono::milliseconds(200);
// A stopped relay is detected within the sum of the two durations.
constexpr core::Duration kRelayLongPollWait = std::chrono::milliseconds(700);
constexpr core::Duration kRelayResponseGrace = std::chrono::milliseconds(400);
// Delay before a failed relay is tried again.
constexpr core::Duration kRelayRetryDelay = std::chrono::seconds(3);
// Delay before the next bootstrap relay is tried. All hosts may start at the
// same time, so a relay may not have listed the kind itself yet.
constexpr core::Duration kBootstrapRetryDelay = std::chrono::milliseconds(60);
// Delay before a relay that reports the store as unavailable is asked again.
constexpr core::Duration kUnavailableRetryDelay =
  std::chrono::milliseconds(300);
// How long this host relies on the relays' reports before it calls the store.
// The relays may be cut off from a store that others can reach.
constexpr core::Duration kTrustRelaysFor = std::chrono::milliseconds(900);
// Objects expire after several missed heartbeats of their writers. An object
// that is missing after a shorter outage was removed.
constexpr core::Duration kMinOutageForExpiry = std::chrono::seconds(1);
// Delay before the store is called directly again, after it has rejected this
// host and a list was read through another one.
constexpr core::Duration kRejectedRetryDelay = std::chrono::milliseconds(300);
// While answers are lost, the store falls silent and recovers all the time.
constexpr core::Duration kLongPollRestartInterval = std::chrono::seconds(1);
constexpr uint32_t kUnavailable = 503;

/// Returns when the source certainly had the newest state, which it sent in the
/// list. The store answers a long poll without changes after the whole wait;
/// any other answer may have been composed as early as the request was sent,
/// and may have been delayed on its way.
std::optional<core::Instant>
FindConfirmedTime(const WatchSource& aSource,
                  const ListRequest& aRequest,
                  const ObjectList& aList,
                  bool aIsUnchanged,
                  core::Instant aSentAt)
{
  if (std::holds_alternative<RelaySource>(aSource)) {
    // The request arrived at the relay later than it was sent.
    return aList.m_confirmedAfterArrival
             ? std::optional(aSentAt + *aList.m_confirmedAfterArrival)
             : std::nullopt;
  }
  const core::Instant endOfWait = aSentAt + aRequest.m_maxWait;
  const bool hasWaited = aIsUnchanged && kernel::Now() >= endOfWait;
  return hasWaited ? endOfWait : aSentAt;
}

/// True if a relay responded that it cannot reach the store.
bool
IsStoreUnavailableAtRelay(const absl::Status& aStatus)
{
  const std::optional<core::Failure> failure = core::FailureFromStatus(aStatus);
  const auto* refused =
    failure ? std::get_if<core::PeerRefused>(&*failure) : nullptr;
  return refused != nullptr && refused->m_status == kUnavailable;
}

} // namespace

KindWatch::KindWatch(kernel::Context& aContext,
                     http::Client& aClient,
                     std::shared_ptr<StoreTransport> aTransport,
                     WatchOptions aOptions)
  : m_context(aContext)
  , m_client(aClient)
  , m_transport(std::move(aTransport))
  , m_options(std::move(aOptions))
  , m_unreadableObjects(aContext, m_options.m_kind)
{
  m_backoff.m_seed =
    std::hash<std::string>()(m_context.Self().m_host + m_options.m_kind);
}

WatchSource
KindWatch::ChooseSource()
{
  const core::Instant now = kernel::Now();
  const auto relays = m_relays.Read();
  const bool isFirstList = !m_hasListed;
  const bool isBootstrapping = (isFirstList || relays->empty()) &&
                               !m_options.m_bootstrapRelays.empty() &&
                               now < m_options.m_bootstrapUntil;
  if (isBootstrapping) {
    return RelaySource{ CurrentBootstrapRelay() };
  }
  if (isFirstList) {
    return StoreSource{};
  }
  if (relays->empty()) {
    // What relays reported means nothing to a host that follows none any more.
    m_relaysUnavailableSince.reset();
    return StoreSource{};
  }
  for (const core::Endpoint& relay : *relays) {
    const auto retryAt = m_failedRelayRetryAt.find(relay);
    if (retryAt == m_failedRelayRetryAt.end() || retryAt->second <= now) {
      return RelaySource{ relay };
    }
  }
  return m_relaysUnavailableSince ? ChooseDuringOutage()
                                  : WatchSource(StoreSource{});
}

WatchSource
KindWatch::ChooseDuringOutage()
{
  const core::Instant now = kernel::Now();
  const bool mayProbe = now >= *m_relaysUnavailableSince + kTrustRelaysFor &&
                        m_transport->TryStartProbe();
  if (mayProbe) {
    return StoreSource{};
  }
  return WaitForRelays{ now + kUnavailableRetryDelay };
}

const core::Endpoint&
KindWatch::CurrentBootstrapRelay() const
{
  const std::vector<core::Endpoint>& relays = m_options.m_bootstrapRelays;
  return relays[m_bootstrapRelayIndex % relays.size()];
}

ListRequest
KindWatch::BuildListRequest(const WatchSource& aSource) const
{
  ListRequest request{ m_options.m_kind, m_revision, "", {} };
  if (std::holds_alternative<RelaySource>(aSource)) {
    request.m_maxWait = m_expiredObjects.empty()
                          ? kRelayLongPollWait
                          : std::clamp(m_retainExpiredUntil - kernel::Now(),
                                       kMinWaitWhileRetaining,
                                       kRelayLongPollWait);
    return request;
  }
  if (m_relistPending || m_storeLostAt) {
    request.m_afterRevision.reset();
  }
  if (request.m_afterRevision) {
    request.m_maxWait = m_options.m_longPollWait;
  }
  if (request.m_afterRevision && !m_expiredObjects.empty()) {
    request.m_maxWait = std::clamp(m_retainExpiredUntil - kernel::Now(),
                                   kMinWaitWhileRetaining,
                                   kMaxWaitWhileRetaining);
  }
  return request;
}

RequestSender
KindWatch::MakeRequestSender(const WatchSource& aSource)
{
  const auto* relay = std::get_if<RelaySource>(&aSource);
  if (relay == nullptr && m_storeLostAt) {
    // During an outage the transport may list through another host.
    return [transport = m_transport](http::Request aRequest,
                                     core::Instant aDeadline) {
      return transport->Send(std::move(aRequest), aDeadline);
    };
  }
  const core::Endpoint endpoint =
    relay != nullptr
      ? relay->m_relay
      : m_options.m_endpoints[m_endpointIndex % m_options.m_endpoints.size()];
  return [this, endpoint](http::Request aRequest, core::Instant aDeadline) {
    return m_client.Call(endpoint,
                         std::move(aRequest),
                         http::Reuse::Allowed,
                         aDeadline,
                         m_callAbort);
  };
}

asio::awaitable<absl::StatusOr<ObjectList>>
KindWatch::RequestList(const WatchSource& aSource, ListRequest aRequest)
{
  m_callAbort = std::make_shared<http::CallAbort>();
  const bool isRelay = std::holds_alternative<RelaySource>(aSource);
  const core::Duration responseGrace =
    isRelay ? kRelayResponseGrace
            : std::max(m_options.m_callTimeout, kStoreResponseGrace);
  const core::Instant deadline =
    kernel::Now() + aRequest.m_maxWait + responseGrace;
  const ObjectCodec& codec = isRelay ? BuiltInCodec() : CodecInUse();
  const RequestSender sendRequest = MakeRequestSender(aSource);
  absl::StatusOr<ObjectList> list =
    co_await ListObjects(sendRequest, codec, std::move(aRequest), deadline);
  co_return list;
}

asio::awaitable<void>
KindWatch::BackOff()
{
  m_endpointIndex += 1;
  co_await kernel::SleepUntil(
    NextRetryTime(m_backoff, m_options.m_backoff, kernel::Now()));
}

void
KindWatch::RelistIfOlderThan(uint64_t aRevision)
{
  const bool isAlreadySeen = m_revision && *m_revision >= aRevision;
  if (isAlreadySeen || m_relistPending || m_isPollingRelay) {
    return;
  }
  m_relistPending = true;
  if (m_callAbort) {
    m_callAbort->RequestAbort();
  }
}

void
KindWatch::RestartLongPoll()
{
  if (!m_isLongPolling || kernel::Now() < m_nextRestartAt) {
    return;
  }
  m_nextRestartAt = kernel::Now() + kLongPollRestartInterval;
  m_context.Metrics().Get("objectstore.long_polls_restarted").Add();
  m_callAbort->RequestAbort();
}

asio::awaitable<void>
KindWatch::RunWatchLoop()
{
  const auto self = shared_from_this();
  for (;;) {
    const WatchSource source = ChooseSource();
    if (const auto* wait = std::get_if<WaitForRelays>(&source)) {
      co_await kernel::SleepUntil(wait->m_until);
      continue;
    }
    const ListRequest request = BuildListRequest(source);
    const auto* relay = std::get_if<RelaySource>(&source);
    m_isPollingRelay = relay != nullptr;
    const bool isRelist = m_relistPending && m_revision.has_value();
    m_isLongPolling =
      relay == nullptr && request.m_maxWait > core::Duration::zero();
    const core::Instant sentAt = kernel::Now();
    absl::StatusOr<ObjectList> list = co_await RequestList(source, request);
    m_isLongPolling = false;
    const bool wasAborted = m_callAbort->IsAbortRequested();
    if (!list.ok() && wasAborted) {
      continue;
    }
    if (!wasAborted) {
      m_relistPending = false;
    }
    if (!list.ok() && !m_withoutNewsSince) {
      m_withoutNewsSince = kernel::Now();
    }
    if (!list.ok() && relay != nullptr) {
      HandleRelayFailure(*relay, list.status());
      const bool isBootstrapRelay = !m_options.m_bootstrapRelays.empty() &&
                                    relay->m_relay == CurrentBootstrapRelay();
      if (isBootstrapRelay) {
        m_bootstrapRelayIndex += 1;
        co_await kernel::SleepUntil(kernel::Now() + kBootstrapRetryDelay);
      }
      continue;
    }
    if (!list.ok()) {
      HandleStoreFailure(list.status());
      co_await BackOff();
      continue;
    }
    if (relay != nullptr) {
      m_relaysUnavailableSince.reset();
    } else {
      m_transport->AllowProbe();
    }
    const bool isAfterOutage = m_storeLostAt.has_value();
    const bool mayHaveExpired =
      m_withoutNewsSince &&
      kernel::Now() - *m_withoutNewsSince >= kMinOutageForExpiry;
    const bool isUnchanged = IsUnchanged(source, *list);
    m_withoutNewsSince.reset();
    RecordReachability(list.status());
    if (mayHaveExpired && list->m_isFullList && !isUnchanged) {
      RetainExpiredObjects(*list);
    }
    DropExpiredObjects();
    m_backoff.m_consecutiveFailures = 0;
    const std::optional<core::Instant> confirmedAt =
      FindConfirmedTime(source, request, *list, isUnchanged, sentAt);
    if (isUnchanged) {
      Confirm(confirmedAt);
      continue;
    }
    const Objects before = isRelist ? m_objects : Objects{};
    if (!ApplyList(*std::move(list))) {
      m_context.Metrics().Get("objectstore.stale_list").Add();
      co_await BackOff();
      continue;
    }
    if (isRelist) {
      ReportMissedChanges(before);
    }
    NotifyChanged();
    Confirm(confirmedAt);
    const bool wasRejected =
      isAfterOutage && relay == nullptr && m_transport->IsDirectSuspended();
    if (wasRejected) {
      co_await kernel::SleepUntil(kernel::Now() + kRejectedRetryDelay);
    } else if (relay == nullptr &&
               m_options.m_expiryGrace > core::Duration::zero()) {
      // Hosts change often and one at a time, so several changes are batched
      // into one call.
      co_await kernel::SleepUntil(kernel::Now() + kChangeBatchingDelay);
    }
  }
}

bool
KindWatch::IsUnchanged(const WatchSource& aSource, const ObjectList& aList)
{
  if (!m_revision) {
    return false;
  }
  if (std::holds_alternative<RelaySource>(aSource)) {
    // A relay may be behind this host; its older list contains nothing new.
    return aList.m_revision <= *m_revision;
  }
  return !aList.m_isFullList && aList.m_revision == *m_revision;
}

void
KindWatch::HandleRelayFailure(const RelaySource& aSource,
                              const absl::Status& aStatus)
{
  const core::Instant now = kernel::Now();
  if (IsStoreUnavailableAtRelay(aStatus)) {
    m_failedRelayRetryAt[aSource.m_relay] = now + kUnavailableRetryDelay;
    if (!m_relaysUnavailableSince) {
      m_relaysUnavailableSince = now;
    }
  } else {
    m_failedRelayRetryAt[aSource.m_relay] = now + kRelayRetryDelay;
  }
  m_context.Metrics().Get("objectstore.relay_failed").Add();
  kernel::LogEvent(kernel::LogLevel::Info,
                   "objectstore",
                   "relay-failed",
                   { { "kind", m_options.m_kind },
                     { "relay", http::ToText(aSource.m_relay) },
                     { "reason", http::DescribeStatus(aStatus) } });
}

void
KindWatch::SetWatchRelays(std::vector<core::Endpoint> aRelays)
{
  m_relays.Publish(std::move(aRelays));
}

std::shared_ptr<const KindSnapshot>
KindWatch::Snapshot() const
{
  const std::scoped_lock lock(m_mutex);
  return m_snapshot;
}

void
KindWatch::CancelTimerOnChange(std::shared_ptr<asio::steady_timer> aTimer)
{
  const std::scoped_lock lock(m_mutex);
  m_waitingTimers.push_back(std::move(aTimer));
}

void
KindWatch::PublishSnapshot()
{
  std::shared_ptr<KindSnapshot> snapshot;
  if (m_revision && !m_storeLostAt) {
    snapshot = std::make_shared<KindSnapshot>();
    snapshot->m_revision = *m_revision;
    std::vector<StoredObject> objects;
    // Retained objects are left out: hosts that had news during the outage know
    // whether they were removed, and the others retain them themselves.
    for (const auto& [name, object] : m_objects) {
      objects.push_back(object);
    }
    snapshot->m_encodedList = EncodeBuiltInList(*m_revision, objects);
  }
  std::vector<std::shared_ptr<asio::steady_timer>> timers;
  {
    const std::scoped_lock lock(m_mutex);
    m_snapshot = std::move(snapshot);
    timers.swap(m_waitingTimers);
  }
  for (const auto& timer : timers) {
    asio::post(timer->get_executor(), [timer] { timer->cancel(); });
  }
}

void
KindWatch::HandleStoreFailure(const absl::Status& aStatus)
{
  if (absl::IsOutOfRange(aStatus)) {
    // The store is reachable but no longer holds the history since this
    // revision, so the kind is relisted.
    m_revision.reset();
    m_context.Metrics().Get("objectstore.watch_gaps").Add();
    return;
  }
  RecordReachability(aStatus);
  // The snapshot is withdrawn, because it may now be out of date.
  PublishSnapshot();
  if (m_options.m_expiryGrace > core::Duration::zero()) {
    m_revision.reset();
  }
}

bool
KindWatch::ApplyList(ObjectList aList)
{
  // A lower revision than the known one comes from a stale replica, also if the
  // list is requested anew after an outage or a gap.
  if (aList.m_revision < m_lastRevision) {
    return false;
  }
  m_unreadableObjects.Report(aList);
  m_revision = aList.m_revision;
  m_lastRevision = aList.m_revision;
  m_hasListed = true;
  if (aList.m_isFullList) {
    m_objects.clear();
  }
  for (const std::string& name : aList.m_removedNames) {
    m_objects.erase(name);
  }
  for (StoredObject& object : aList.m_objects) {
    const std::string name = object.m_key.m_name;
    m_expiredObjects.erase(name);
    m_objects.insert_or_assign(name, std::move(object));
  }
  return true;
}

void
KindWatch::RetainExpiredObjects(const ObjectList& aList)
{
  if (m_options.m_expiryGrace == core::Duration::zero()) {
    return;
  }
  m_expiredObjects = m_objects;
  for (const StoredObject& object : aList.m_objects) {
    m_expiredObjects.erase(object.m_key.m_name);
  }
  m_retainExpiredUntil = kernel::Now() + m_options.m_expiryGrace;
}

void
KindWatch::DropExpiredObjects()
{
  if (m_expiredObjects.empty() || kernel::Now() < m_retainExpiredUntil) {
    return;
  }
  m_expiredObjects.clear();
  NotifyChanged();
}

void
KindWatch::NotifyChanged()
{
  auto objects = std::make_shared<std::vector<StoredObject>>();
  for (const auto& [name, object] : m_objects) {
    objects->push_back(object);
  }
  for (const auto& [name, object] : m_expiredObjects) {
    objects->push_back(object);
  }
  m_context.Control().Post(
    [onChanged = m_options.m_onChanged, objects] { onChanged(*objects); });
  PublishSnapshot();
}

void
KindWatch::Confirm(std::optional<core::Instant> aConfirmedAt)
{
  if (!aConfirmedAt) {
    return;
  }
  // Tasks of the control thread run in the order in which they were posted, so
  // that the changes up to this time have been applied.
  m_context.Control().Post(
    [confirmed = m_confirmed, at = *aConfirmedAt] { confirmed->Advance(at); });
}

void
KindWatch::ReportMissedChanges(const Objects& aBefore)
{
  // Finds the latest missed change. A removal has no version of its own, so the
  // revision of the list stands for it.
  uint64_t missedRevision = 0;
  for (const auto& [name, object] : m_objects) {
    const auto before = aBefore.find(name);
    const bool isChanged =
      before == aBefore.end() || before->second.m_version != object.m_version;
    if (isChanged) {
      missedRevision = std::max(missedRevision, object.m_version);
    }
  }
  for (const auto& [name, object] : aBefore) {
    if (!m_objects.contains(name)) {
      missedRevision = *m_revision;
    }
  }
  if (missedRevision == 0) {
    return;
  }
  kernel::LogEvent(
    kernel::LogLevel::Info,
    "objectstore",
    "changes-missed",
    { { "kind", m_options.m_kind }, { "revision", missedRevision } });
  m_context.Control().Post(
    [onMissedChanges = m_options.m_onMissedChanges,
     kind = m_options.m_kind,
     missedRevision] { onMissedChanges(kind, missedRevision); });
}

void
KindWatch::RecordReachability(const absl::Status& aStatus)
{
  const core::Instant now = kernel::Now();
  if (!aStatus.ok() && !m_storeLostAt) {
    m_storeLostAt = now;
    kernel::LogEvent(kernel::LogLevel::Warning,
                     "objectstore",
                     "dependency-lost",
                     { { "kind", m_options.m_kind },
                       { "reason", http::DescribeStatus(aStatus) } });
  }
  if (aStatus.ok() && m_storeLostAt) {
    kernel::LogEvent(
      kernel::LogLevel::Info,
      "objectstore",
      "dependency-regained",
      { { "kind", m_options.m_kind },
        { "lost_ms", kernel::Milliseconds(now - *m_storeLostAt) } });
    m_storeLostAt.reset();
  }
  m_context.Metrics()
    .Get(aStatus.ok() ? "objectstore.watch_answered"
                      : "objectstore.watch_failed")
    .Add();
}

} // namespace heatherdeal::objectstore
