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
#include "objectstore/internal/storepath.h"

namespace heatherdeal::objectstore {

namespace {

namespace asio = boost::asio;

// Store calls share one loop, so that one client pools their connections.
constexpr size_t kLoopIndex = 0;
constexpr std::string_view kRelayPath = "/watch/";
constexpr uint64_t kMaxRelayWaitMilliseconds = 30'000;

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
  const std::optional<core::Failure> failure = core::FailureFromStatus(aStatus);
  return !failure || core::ExecutedOf(*failure) != core::Executed::No;
}

StoreExchange
ExchangeOf(std::shared_ptr<StorePath> aPath)
{
  return [aPath](http::Request aRequest, core::Instant aDeadline) {
    return aPath->Send(std::move(aRequest), aDeadline);
  };
}

asio::awaitable<void>
RunRead(kernel::Context& aContext,
        std::shared_ptr<StorePath> aPath,
        ObjectKey aKey,
        Freshness aFreshness,
        core::Instant aDeadline,
        ObjectStore::ReadCallback aDone)
{
  const StoreExchange exchange = ExchangeOf(aPath);
  absl::StatusOr<StoredObject> object =
    co_await CallRead(exchange, aKey, aFreshness, aDeadline);
  CallBack(aContext, std::move(aDone), std::move(object));
}

asio::awaitable<void>
RunPlain(kernel::Context& aContext,
         std::shared_ptr<StorePath> aPath,
         http::Request aRequest,
         core::Instant aDeadline,
         ObjectStore::DoneCallback aDone)
{
  const StoreExchange exchange = ExchangeOf(aPath);
  const absl::StatusOr<bool> done =
    co_await CallPlain(exchange, std::move(aRequest), aDeadline);
  const bool carriedOut = done.ok() && *done;
  if (!carriedOut) {
    aContext.Metrics().Get("objectstore.plain_call_failed").Add();
  }
  CallBack(aContext, std::move(aDone), carriedOut);
}

/// Reads back what a write without a reply has left.
asio::awaitable<absl::StatusOr<uint64_t>>
ReadBack(const StoreExchange& aExchange,
         const WriteRequest& aWrite,
         absl::Status aUnknown,
         core::Instant aDeadline)
{
  const absl::StatusOr<StoredObject> found =
    co_await CallRead(aExchange, aWrite.m_key, Freshness::Latest, aDeadline);
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
         std::shared_ptr<StorePath> aPath,
         WriteRequest aWrite,
         core::Duration aCallTime,
         ObjectStore::WriteCallback aDone)
{
  const StoreExchange exchange = ExchangeOf(aPath);
  absl::StatusOr<uint64_t> version =
    co_await CallWrite(exchange, aWrite, kernel::Now() + aCallTime);
  const bool unknown = !version.ok() && !absl::IsAborted(version.status()) &&
                       MayHaveTakenEffect(version.status());
  if (unknown) {
    aContext.Metrics().Get("objectstore.write_reply_lost").Add();
    const absl::Status failure = version.status();
    version =
      co_await ReadBack(exchange, aWrite, failure, kernel::Now() + aCallTime);
  }
  CallBack(aContext, std::move(aDone), std::move(version));
}

} // namespace

ObjectStore::ObjectStore(kernel::Context& aContext,
                         ObjectStoreSettings aSettings)
  : m_context(aContext)
  , m_settings(std::move(aSettings))
  , m_clients(aContext.Get<http::Clients>())
  , m_path(std::make_shared<StorePath>(aContext,
                                       m_clients->ForLoop(kLoopIndex),
                                       m_settings.m_endpoints))
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

void
ObjectStore::Read(ObjectKey aKey, CallPriority aPriority, ReadCallback aDone)
{
  ReadAs(Freshness::Latest, std::move(aKey), aPriority, std::move(aDone));
}

void
ObjectStore::ReadAs(Freshness aFreshness,
                    ObjectKey aKey,
                    CallPriority aPriority,
                    ReadCallback aDone)
{
  if (!TakeCall(m_budget, m_settings.m_budget, aPriority, kernel::Now())) {
    m_context.Metrics().Get("objectstore.over_budget").Add();
    aDone(core::ToStatus(core::Overload{ "object API calls" }));
    return;
  }
  asio::co_spawn(m_context.Traffic().Loop(kLoopIndex),
                 RunRead(m_context,
                         m_path,
                         std::move(aKey),
                         aFreshness,
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
                          m_path,
                          std::move(write),
                          m_settings.m_callTime,
                          std::move(aDone)),
                 asio::detached);
}

void
ObjectStore::Remove(ObjectKey aKey)
{
  SendPlain(CodecInUse().m_encodeRemove(aKey), [](bool) {});
}

void
ObjectStore::SetStatus(ObjectKey aKey,
                       std::string_view aValue,
                       DoneCallback aDone)
{
  SendPlain(CodecInUse().m_encodeStatus(aKey, aValue), std::move(aDone));
}

void
ObjectStore::SendPlain(http::Request aRequest, DoneCallback aDone)
{
  asio::co_spawn(m_context.Traffic().Loop(kLoopIndex),
                 RunPlain(m_context,
                          m_path,
                          std::move(aRequest),
                          kernel::Now() + m_settings.m_callTime,
                          std::move(aDone)),
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
  WatchTask task{ std::move(aKind),
                  m_settings.m_endpoints,
                  m_settings.m_backoff,
                  m_settings.m_callTime,
                  m_settings.m_watchTime,
                  aLapseGrace,
                  std::move(aChanged),
                  [self = shared_from_this()](std::string_view aMissedKind,
                                              uint64_t aRevision) {
                    self->AnnounceMissed(aMissedKind, aRevision);
                  } };
  const std::string name = task.m_kind;
  auto watch = std::make_shared<KindWatch>(
    m_context, m_clients->ForLoop(kLoopIndex), m_path, std::move(task));
  watch->SetRelays(m_relays);
  {
    const std::scoped_lock lock(m_mutex);
    m_watches[name] = watch;
  }
  asio::co_spawn(
    m_context.Traffic().Loop(kLoopIndex), watch->Run(), asio::detached);
}

void
ObjectStore::Refresh(std::string_view aKind, uint64_t aRevision)
{
  const auto watch = m_watches.find(aKind);
  if (watch == m_watches.end()) {
    return;
  }
  asio::post(m_context.Traffic().Loop(kLoopIndex),
             [watch = watch->second, aRevision] { watch->Refresh(aRevision); });
}

void
ObjectStore::SetRelays(std::span<const core::Endpoint> aRelays)
{
  if (std::ranges::equal(aRelays, m_relays)) {
    return;
  }
  m_relays.assign(aRelays.begin(), aRelays.end());
  for (const auto& [kind, watch] : m_watches) {
    watch->SetRelays(m_relays);
  }
}

void
ObjectStore::SetPeers(std::span<const core::Endpoint> aPeers)
{
  m_path->SetPeers({ aPeers.begin(), aPeers.end() });
}

asio::awaitable<void>
ObjectStore::ServePeer(http::Exchange& aExchange)
{
  return m_path->Serve(aExchange);
}

std::shared_ptr<KindWatch>
ObjectStore::FindWatch(std::string_view aKind) const
{
  const std::scoped_lock lock(m_mutex);
  const auto found = m_watches.find(aKind);
  return found == m_watches.end() ? nullptr : found->second;
}

asio::awaitable<void>
ObjectStore::ServeRelay(http::Exchange& aExchange)
{
  const std::string& target = aExchange.ReceivedRequest().m_target;
  const std::string_view kind = http::PathOf(target).substr(kRelayPath.size());
  const uint64_t after = http::QueryNumber(target, "after").value_or(0);
  const uint64_t wait = http::QueryNumber(target, "wait_ms").value_or(0);
  const auto watch = FindWatch(kind);
  if (!watch) {
    http::Response unknown =
      http::MakeFailureResponse(core::NotFound{ std::string(kind) });
    co_await aExchange.RespondIgnoringErrors(std::move(unknown));
    co_return;
  }
  auto timer = std::make_shared<asio::steady_timer>(
    m_context.Traffic().Loop(aExchange.LoopIndex()));
  timer->expires_after(
    std::chrono::milliseconds(std::min(wait, kMaxRelayWaitMilliseconds)));
  watch->WakeOnChange(timer);
  std::shared_ptr<const RelayedKind> snapshot = watch->Snapshot();
  if (snapshot && snapshot->m_revision <= after) {
    boost::system::error_code woken;
    co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, woken));
    snapshot = watch->Snapshot();
  }
  http::Response answer =
    http::MakeFailureResponse(core::RecordUnavailable{ std::string(kind) });
  if (snapshot) {
    answer = http::Response{};
    // What the asker has is not sent again.
    answer.m_body = snapshot->m_revision > after
                      ? snapshot->m_text
                      : EncodeOwnList(snapshot->m_revision, {});
  }
  co_await aExchange.RespondIgnoringErrors(std::move(answer));
}

void
ObjectStore::SubscribeMissed(MissedCallback aMissed)
{
  m_missed.push_back(std::move(aMissed));
}

void
ObjectStore::AnnounceMissed(std::string_view aKind, uint64_t aRevision)
{
  m_context.Metrics().Get("objectstore.changes_missed").Add();
  for (const MissedCallback& missed : m_missed) {
    missed(aKind, aRevision);
  }
}

} // namespace heatherdeal::objectstore
