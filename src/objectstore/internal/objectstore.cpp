#include "objectstore/objectstore.h"

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/post.hpp"
#include "boost/asio/redirect_error.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"

#include "core/failure.h"
#include "http/exchange.h"
#include "kernel/sleep.h"
#include "objectstore/internal/kindwatch.h"
#include "objectstore/internal/objectcalls.h"
#include "objectstore/internal/storetransport.h"

namespace heatherdeal::objectstore {

namespace {

namespace asio = boost::asio;

// All store calls run on one loop, so that one client pools their connections.
constexpr size_t kLoopIndex = 0;
constexpr std::string_view kWatchPath = "/watch/";
constexpr uint64_t kMaxLongPollMilliseconds = 30'000;

/// Posts the callback with its result to the control thread.
template<typename Callback, typename Result>
void
PostResult(kernel::Context& aContext, Callback aDone, Result aResult)
{
  auto sharedResult = std::make_shared<Result>(std::move(aResult));
  aContext.Control().Post([aDone = std::move(aDone), sharedResult] {
    aDone(std::move(*sharedResult));
  });
}

RequestSender
MakeRequestSender(std::shared_ptr<StoreTransport> aTransport)
{
  return [aTransport](http::Request aRequest, core::Instant aDeadline) {
    return aTransport->Send(std::move(aRequest), aDeadline);
  };
}

asio::awaitable<void>
ReadAndPostResult(kernel::Context& aContext,
                  std::shared_ptr<StoreTransport> aTransport,
                  ObjectKey aKey,
                  Freshness aFreshness,
                  core::Instant aDeadline,
                  ObjectStore::ReadCallback aDone)
{
  const RequestSender sendRequest = MakeRequestSender(aTransport);
  absl::StatusOr<StoredObject> object =
    co_await ReadObject(sendRequest, aKey, aFreshness, aDeadline);
  PostResult(aContext, std::move(aDone), std::move(object));
}

asio::awaitable<void>
ListAndPostResult(kernel::Context& aContext,
                  std::shared_ptr<StoreTransport> aTransport,
                  std::string aKind,
                  core::Instant aDeadline,
                  ObjectStore::ListCallback aDone)
{
  const RequestSender sendRequest = MakeRequestSender(aTransport);
  ListRequest request;
  request.m_kind = std::move(aKind);
  absl::StatusOr<ObjectList> list = co_await ListObjects(
    sendRequest, CodecInUse(), std::move(request), aDeadline);
  absl::StatusOr<std::vector<StoredObject>> objects =
    list.ok()
      ? absl::StatusOr<std::vector<StoredObject>>(std::move(list->m_objects))
      : list.status();
  PostResult(aContext, std::move(aDone), std::move(objects));
}

asio::awaitable<void>
ExecuteAndPostResult(kernel::Context& aContext,
                     std::shared_ptr<StoreTransport> aTransport,
                     http::Request aRequest,
                     core::Instant aDeadline,
                     ObjectStore::DoneCallback aDone)
{
  const RequestSender sendRequest = MakeRequestSender(aTransport);
  const absl::StatusOr<bool> result =
    co_await ExecuteRequest(sendRequest, std::move(aRequest), aDeadline);
  const bool wasExecuted = result.ok() && *result;
  if (!wasExecuted) {
    aContext.Metrics().Get("objectstore.plain_call_failed").Add();
  }
  PostResult(aContext, std::move(aDone), wasExecuted);
}

/// Reads the object back to find out whether a write whose response was lost
/// took effect.
asio::awaitable<absl::StatusOr<uint64_t>>
ResolveUnknownWrite(const RequestSender& aSendRequest,
                    const WriteRequest& aWrite,
                    absl::Status aUnknownOutcome,
                    core::Instant aDeadline)
{
  const absl::StatusOr<StoredObject> found = co_await ReadObject(
    aSendRequest, aWrite.m_key, Freshness::Latest, aDeadline);
  if (!found.ok()) {
    co_return aUnknownOutcome;
  }
  if (found->m_writeToken == aWrite.m_token) {
    co_return found->m_version;
  }
  if (found->m_version != aWrite.m_expectedVersion) {
    co_return core::ToStatus(
      core::VersionConflict{ aWrite.m_expectedVersion, found->m_version });
  }
  // The write may still be in flight to the store.
  co_return aUnknownOutcome;
}

asio::awaitable<void>
WriteAndPostResult(kernel::Context& aContext,
                   std::shared_ptr<StoreTransport> aTransport,
                   WriteRequest aWrite,
                   core::Duration aCallTimeout,
                   ObjectStore::WriteCallback aDone)
{
  const RequestSender sendRequest = MakeRequestSender(aTransport);
  absl::StatusOr<uint64_t> version =
    co_await WriteObject(sendRequest, aWrite, kernel::Now() + aCallTimeout);
  const bool isOutcomeUnknown = !version.ok() &&
                                !absl::IsAborted(version.status()) &&
                                core::MayHaveBeenExecuted(version.status());
  if (isOutcomeUnknown) {
    aContext.Metrics().Get("objectstore.write_reply_lost").Add();
    const absl::Status failure = version.status();
    version = co_await ResolveUnknownWrite(
      sendRequest, aWrite, failure, kernel::Now() + aCallTimeout);
  }
  PostResult(aContext, std::move(aDone), std::move(version));
}

} // namespace

ObjectStore::ObjectStore(kernel::Context& aContext,
                         ObjectStoreSettings aSettings)
  : m_context(aContext)
  , m_settings(std::move(aSettings))
  , m_clients(aContext.Get<http::Clients>())
  , m_transport(std::make_shared<StoreTransport>(aContext,
                                                 m_clients->ForLoop(kLoopIndex),
                                                 m_settings.m_endpoints))
{
  m_budget.m_availableCalls = m_settings.m_budget.m_burst;
  m_budget.m_refilledAt = kernel::Now();
}

std::string
ObjectStore::NextWriteToken()
{
  const auto now = kernel::Now().time_since_epoch().count();
  return m_context.Self().m_host + "-" + std::to_string(now) + "-" +
         std::to_string(++m_writeCount);
}

void
ObjectStore::Read(ObjectKey aKey, CallPriority aPriority, ReadCallback aDone)
{
  ReadWithFreshness(
    Freshness::Latest, std::move(aKey), aPriority, std::move(aDone));
}

void
ObjectStore::ReadWithFreshness(Freshness aFreshness,
                               ObjectKey aKey,
                               CallPriority aPriority,
                               ReadCallback aDone)
{
  if (!TryTakeCall(m_budget, m_settings.m_budget, aPriority, kernel::Now())) {
    m_context.Metrics().Get("objectstore.over_budget").Add();
    aDone(core::ToStatus(core::Overload{ "object API calls" }));
    return;
  }
  asio::co_spawn(m_context.Traffic().Loop(kLoopIndex),
                 ReadAndPostResult(m_context,
                                   m_transport,
                                   std::move(aKey),
                                   aFreshness,
                                   kernel::Now() + m_settings.m_callTimeout,
                                   std::move(aDone)),
                 asio::detached);
}

void
ObjectStore::List(std::string aKind, CallPriority aPriority, ListCallback aDone)
{
  if (!TryTakeCall(m_budget, m_settings.m_budget, aPriority, kernel::Now())) {
    m_context.Metrics().Get("objectstore.over_budget").Add();
    aDone(core::ToStatus(core::Overload{ "object API calls" }));
    return;
  }
  asio::co_spawn(m_context.Traffic().Loop(kLoopIndex),
                 ListAndPostResult(m_context,
                                   m_transport,
                                   std::move(aKind),
                                   kernel::Now() + m_settings.m_callTimeout,
                                   std::move(aDone)),
                 asio::detached);
}

void
ObjectStore::Write(ObjectKey aKey,
                   uint64_t aExpectedVersion,
                   std::string aValue,
                   CallPriority aPriority,
                   WriteCallback aDone)
{
  if (aValue.size() > kMaxValueBytes) {
    aDone(core::ToStatus(core::InvalidInput{ aKey.m_kind + "/" + aKey.m_name,
                                             "a value of at most 1 MiB" }));
    return;
  }
  if (!TryTakeCall(m_budget, m_settings.m_budget, aPriority, kernel::Now())) {
    m_context.Metrics().Get("objectstore.over_budget").Add();
    aDone(core::ToStatus(core::Overload{ "object API calls" }));
    return;
  }
  WriteRequest write{
    std::move(aKey), aExpectedVersion, std::move(aValue), NextWriteToken()
  };
  asio::co_spawn(m_context.Traffic().Loop(kLoopIndex),
                 WriteAndPostResult(m_context,
                                    m_transport,
                                    std::move(write),
                                    m_settings.m_callTimeout,
                                    std::move(aDone)),
                 asio::detached);
}

void
ObjectStore::Remove(ObjectKey aKey)
{
  SendRequest(CodecInUse().m_encodeRemove(aKey), [](bool) {});
}

void
ObjectStore::SetStatus(ObjectKey aKey,
                       std::string_view aValue,
                       DoneCallback aDone)
{
  SendRequest(CodecInUse().m_encodeStatus(aKey, aValue), std::move(aDone));
}

void
ObjectStore::SendRequest(http::Request aRequest, DoneCallback aDone)
{
  asio::co_spawn(m_context.Traffic().Loop(kLoopIndex),
                 ExecuteAndPostResult(m_context,
                                      m_transport,
                                      std::move(aRequest),
                                      kernel::Now() + m_settings.m_callTimeout,
                                      std::move(aDone)),
                 asio::detached);
}

void
ObjectStore::Watch(std::string aKind, WatchCallback aOnChanged)
{
  StartWatch(std::move(aKind), core::Duration::zero(), std::move(aOnChanged));
}

void
ObjectStore::WatchWithExpiryGrace(std::string aKind, WatchCallback aOnChanged)
{
  StartWatch(std::move(aKind), m_settings.m_expiryGrace, std::move(aOnChanged));
}

void
ObjectStore::StartWatch(std::string aKind,
                        core::Duration aExpiryGrace,
                        WatchCallback aOnChanged)
{
  const bool isConfirmed =
    std::ranges::find(m_settings.m_confirmedKinds, aKind) !=
    m_settings.m_confirmedKinds.end();
  const core::Duration longPollWait =
    isConfirmed
      ? std::min(m_settings.m_confirmationWait, m_settings.m_longPollWait)
      : m_settings.m_longPollWait;
  WatchOptions options{ std::move(aKind),
                        m_settings.m_endpoints,
                        m_settings.m_backoff,
                        m_settings.m_callTimeout,
                        longPollWait,
                        aExpiryGrace,
                        m_settings.m_bootstrapRelays,
                        kernel::Now() + m_settings.m_bootstrapTime,
                        std::move(aOnChanged),
                        [self = shared_from_this()](
                          std::string_view aMissedKind, uint64_t aRevision) {
                          self->NotifyMissedChanges(aMissedKind, aRevision);
                        } };
  const std::string watchedKind = options.m_kind;
  auto watch = std::make_shared<KindWatch>(
    m_context, m_clients->ForLoop(kLoopIndex), m_transport, std::move(options));
  watch->SetWatchRelays(m_watchRelays);
  {
    const std::scoped_lock lock(m_mutex);
    m_watches[watchedKind] = watch;
  }
  asio::post(m_context.Traffic().Loop(kLoopIndex),
             [transport = m_transport, weak = std::weak_ptr(watch)] {
               transport->SubscribeRecovery([weak] {
                 if (const auto locked = weak.lock()) {
                   locked->RestartLongPoll();
                 }
               });
             });
  asio::co_spawn(m_context.Traffic().Loop(kLoopIndex),
                 watch->RunWatchLoop(),
                 asio::detached);
}

void
ObjectStore::RelistIfOlderThan(std::string_view aKind, uint64_t aRevision)
{
  const auto watch = m_watches.find(aKind);
  if (watch == m_watches.end()) {
    return;
  }
  asio::post(m_context.Traffic().Loop(kLoopIndex),
             [watch = watch->second, aRevision] {
               watch->RelistIfOlderThan(aRevision);
             });
}

void
ObjectStore::SetWatchRelays(std::span<const core::Endpoint> aRelays)
{
  if (std::ranges::equal(aRelays, m_watchRelays)) {
    return;
  }
  m_watchRelays.assign(aRelays.begin(), aRelays.end());
  for (const auto& [kind, watch] : m_watches) {
    watch->SetWatchRelays(m_watchRelays);
  }
}

void
ObjectStore::SetCallRelays(std::span<const core::Endpoint> aCallRelays)
{
  m_transport->SetCallRelays({ aCallRelays.begin(), aCallRelays.end() });
}

asio::awaitable<void>
ObjectStore::ServeRelayedCall(http::Exchange& aExchange)
{
  return m_transport->ForwardRelayedCall(aExchange);
}

std::shared_ptr<KindWatch>
ObjectStore::FindWatch(std::string_view aKind) const
{
  const std::scoped_lock lock(m_mutex);
  const auto found = m_watches.find(aKind);
  return found == m_watches.end() ? nullptr : found->second;
}

std::shared_ptr<const ConfirmedTime>
ObjectStore::FindConfirmedTime(std::string_view aKind) const
{
  const auto watch = FindWatch(aKind);
  return watch ? watch->Confirmed() : nullptr;
}

asio::awaitable<void>
ObjectStore::ServeRelayedWatch(http::Exchange& aExchange)
{
  const core::Instant arrivedAt = kernel::Now();
  const std::string& target = aExchange.ReceivedRequest().m_target;
  const std::string_view kind = http::PathOf(target).substr(kWatchPath.size());
  const uint64_t knownRevision = http::QueryNumber(target, "after").value_or(0);
  const uint64_t waitMilliseconds =
    http::QueryNumber(target, "wait_ms").value_or(0);
  const auto watch = FindWatch(kind);
  if (!watch) {
    http::Response notFound =
      http::MakeFailureResponse(core::NotFound{ std::string(kind) });
    co_await aExchange.RespondIgnoringErrors(std::move(notFound));
    co_return;
  }
  auto timer = std::make_shared<asio::steady_timer>(
    m_context.Traffic().Loop(aExchange.LoopIndex()));
  timer->expires_after(std::chrono::milliseconds(
    std::min(waitMilliseconds, kMaxLongPollMilliseconds)));
  watch->CancelTimerOnChange(timer);
  // Read before the snapshot, which must not be older than this time.
  core::Instant confirmedAt = watch->Confirmed()->Read();
  std::shared_ptr<const KindSnapshot> snapshot = watch->Snapshot();
  if (snapshot && snapshot->m_revision <= knownRevision) {
    boost::system::error_code ignoredError;
    co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, ignoredError));
    confirmedAt = watch->Confirmed()->Read();
    snapshot = watch->Snapshot();
  }
  http::Response response =
    http::MakeFailureResponse(core::RecordUnavailable{ std::string(kind) });
  if (snapshot) {
    response = http::Response{};
    // A poller that already has this revision receives an empty list.
    response.m_body = snapshot->m_revision > knownRevision
                        ? snapshot->m_encodedList
                        : EncodeBuiltInList(snapshot->m_revision, {});
    if (confirmedAt != core::Instant::min()) {
      AddConfirmation(response, confirmedAt - arrivedAt);
    }
  }
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

void
ObjectStore::SubscribeMissedChanges(MissedChangesCallback aOnMissedChanges)
{
  m_missedChangesCallbacks.push_back(std::move(aOnMissedChanges));
}

void
ObjectStore::NotifyMissedChanges(std::string_view aKind, uint64_t aRevision)
{
  m_context.Metrics().Get("objectstore.changes_missed").Add();
  for (const MissedChangesCallback& onMissedChanges :
       m_missedChangesCallbacks) {
    onMissedChanges(aKind, aRevision);
  }
}

} // namespace heatherdeal::objectstore
