#include "objectstore/objectstore.h"

#include <future>
#include <thread>

#include "catch2/catch.hpp"

#include "http/tests/crashingserver.h"
#include "http/tests/loopback.h"
#include "kernel/sleep.h"
#include "objectstore/objectcodec.h"
#include "standin/objectapi/objectapi.h"

namespace heatherdeal::objectstore {

namespace {

constexpr uint32_t kUnavailable = 503;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An object API stand-in and a client of it.
struct StoreFixture
{
  http::Loopback m_loopback{ http::AnyPort() };
  std::shared_ptr<standin::ObjectApi> m_api;
  std::shared_ptr<ObjectStore> m_store;

  StoreFixture()
  {
    m_api = std::make_shared<standin::ObjectApi>(m_loopback.Kernel());
    m_api->AddRoutes();
    m_loopback.Listen();
    UseStoreAt(m_loopback.Self());
  }

  void UseStoreAt(const core::Endpoint& aStore)
  {
    ObjectStoreSettings settings;
    settings.m_endpoints = { aStore };
    settings.m_callTimeout = milliseconds(500);
    settings.m_longPollWait = seconds(5);
    settings.m_budget = { 1000.0, 1000.0 };
    m_store = std::make_shared<ObjectStore>(m_loopback.Kernel(), settings);
  }

  absl::StatusOr<uint64_t> Write(uint64_t aExpectedVersion, std::string aValue)
  {
    std::promise<absl::StatusOr<uint64_t>> done;
    m_loopback.Kernel().Control().Post([&] {
      m_store->Write({ "kind", "name" },
                     aExpectedVersion,
                     aValue,
                     CallPriority::Lease,
                     [&](absl::StatusOr<uint64_t> aVersion) {
                       done.set_value(std::move(aVersion));
                     });
    });
    return done.get_future().get();
  }

  absl::StatusOr<StoredObject> Read()
  {
    std::promise<absl::StatusOr<StoredObject>> done;
    m_loopback.Kernel().Control().Post([&] {
      m_store->Read({ "kind", "name" },
                    CallPriority::Lease,
                    [&](absl::StatusOr<StoredObject> aObject) {
                      done.set_value(std::move(aObject));
                    });
    });
    return done.get_future().get();
  }
};

core::Executed
ExecutedOf(const absl::Status& aStatus)
{
  return core::ExecutedOf(http::FailureOf(aStatus));
}

} // namespace

TEST_CASE("a write reports its outcome under each fault of the store")
{
  StoreFixture store;
  const auto created = store.Write(0, "a");
  REQUIRE(created.ok());

  SECTION("conflict")
  {
    const auto conflict = store.Write(*created + 7, "b");
    CHECK(absl::IsAborted(conflict.status()));
    CHECK(store.Read()->m_value == "a");
  }
  SECTION("reply lost after the write took effect")
  {
    store.m_api->SetFaults({ .m_lostReplies = 1 });
    const auto written = store.Write(*created, "b");
    REQUIRE(written.ok());
    CHECK(store.Read()->m_version == *written);
    CHECK(store.Read()->m_value == "b");
  }
  SECTION("down")
  {
    store.m_api->SetFaults({ .m_down = true });
    const auto written = store.Write(*created, "b");
    REQUIRE_FALSE(written.ok());
    CHECK(ExecutedOf(written.status()) == core::Executed::Unknown);
  }
  SECTION("throttled")
  {
    store.m_api->SetFaults({ .m_throttledRequests = 1 });
    const auto written = store.Write(*created, "b");
    REQUIRE_FALSE(written.ok());
    CHECK(ExecutedOf(written.status()) == core::Executed::No);
    CHECK(store.Read()->m_value == "a");
  }
  SECTION("slower than the call timeout")
  {
    store.m_api->SetFaults({ .m_delay = milliseconds(1500) });
    const auto written = store.Write(*created, "b");
    REQUIRE_FALSE(written.ok());
    CHECK(ExecutedOf(written.status()) == core::Executed::Unknown);
  }
  SECTION("a value over the size limit is not sent")
  {
    const auto written =
      store.Write(*created, std::string(kMaxValueBytes + 1, 'x'));
    REQUIRE_FALSE(written.ok());
    CHECK(ExecutedOf(written.status()) == core::Executed::No);
  }
}

// Guards against a write that is taken for stored because of bytes that are no
// answer.
TEST_CASE(
  "a store's answer behind a status that HTTP does not have is not taken")
{
  const std::string status =
    GENERATE(as<std::string>(), "000 None", "101 Switching Protocols");
  const std::string body = R"({"version":5})";
  const http::RawServer raw("HTTP/1.1 " + status +
                            "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body);
  StoreFixture store;
  store.UseStoreAt(raw.Endpoint());
  const auto written = store.Write(0, "a");
  REQUIRE_FALSE(written.ok());
  CHECK(ExecutedOf(written.status()) == core::Executed::Unknown);
}

TEST_CASE("a missing object reads as version 0")
{
  StoreFixture store;
  const auto object = store.Read();
  REQUIRE(object.ok());
  CHECK(object->m_version == 0);
}

TEST_CASE("a watch reports changes and continues after an outage")
{
  StoreFixture store;
  std::mutex mutex;
  std::condition_variable changed;
  std::string lastValue;
  store.m_loopback.Kernel().Control().Post([&] {
    store.m_store->Watch("kind", [&](std::span<const StoredObject> aObjects) {
      const std::scoped_lock lock(mutex);
      lastValue = aObjects.empty() ? "" : aObjects.front().m_value;
      changed.notify_all();
    });
  });
  const auto waitFor = [&](std::string_view aValue) {
    std::unique_lock lock(mutex);
    return changed.wait_for(
      lock, seconds(20), [&] { return lastValue == aValue; });
  };
  const auto first = store.Write(0, "a");
  REQUIRE(first.ok());
  CHECK(waitFor("a"));
  store.m_api->SetFaults({ .m_down = true });
  store.m_api->SetFaults({});
  REQUIRE(store.Write(*first, "b").ok());
  CHECK(waitFor("b"));
}

namespace {

/// A host with access to the store, and a remote host whose access depends on
/// the endpoint that it is given.
struct HostPair
{
  StoreFixture m_connectedHost;
  http::Loopback m_remoteLoopback{ http::AnyPort() };
  std::shared_ptr<ObjectStore> m_remoteClient;

  explicit HostPair(const core::Endpoint& aRemoteStoreEndpoint,
                    std::vector<core::Endpoint> aBootstrapRelays = {})
  {
    m_remoteLoopback.Listen();
    ObjectStoreSettings settings;
    settings.m_endpoints = { aRemoteStoreEndpoint };
    settings.m_bootstrapRelays = std::move(aBootstrapRelays);
    settings.m_bootstrapTime = milliseconds(500);
    settings.m_callTimeout = milliseconds(1500);
    settings.m_budget = { 1000.0, 1000.0 };
    m_remoteClient =
      std::make_shared<ObjectStore>(m_remoteLoopback.Kernel(), settings);
  }

  absl::StatusOr<uint64_t> WriteFromRemoteHost(std::string aValue)
  {
    std::promise<absl::StatusOr<uint64_t>> done;
    m_remoteLoopback.Kernel().Control().Post([&] {
      m_remoteClient->Write({ "kind", "name" },
                            0,
                            aValue,
                            CallPriority::Lease,
                            [&](absl::StatusOr<uint64_t> aVersion) {
                              done.set_value(std::move(aVersion));
                            });
    });
    return done.get_future().get();
  }

  void Watch(std::string& aLastValue, std::mutex& aMutex)
  {
    m_remoteLoopback.Kernel().Control().Post([&] {
      m_remoteClient->Watch(
        "kind", [&](std::span<const StoredObject> aObjects) {
          const std::scoped_lock lock(aMutex);
          aLastValue = aObjects.empty() ? "" : aObjects.front().m_value;
        });
    });
  }
};

/// A host that relays both calls and watched kinds.
struct RelayHost
{
  http::Loopback m_loopback{ http::AnyPort() };
  std::shared_ptr<ObjectStore> m_store;

  explicit RelayHost(const core::Endpoint& aStoreEndpoint)
  {
    ObjectStoreSettings settings;
    settings.m_endpoints = { aStoreEndpoint };
    settings.m_budget = { 1000.0, 1000.0 };
    m_store = std::make_shared<ObjectStore>(m_loopback.Kernel(), settings);
    m_loopback.Http().AddRoute(
      { "POST", "/objectstore/relay", [this](http::Exchange& aExchange) {
         return m_store->ServeRelayedCall(aExchange);
       } });
    m_loopback.Http().AddRoute(
      { "GET", "/watch/", [this](http::Exchange& aExchange) {
         return m_store->ServeRelayedWatch(aExchange);
       } });
    m_loopback.Listen();
  }
};

/// Waits until a watch has delivered the value. Returns false if that takes too
/// long.
bool
WaitForValue(const std::string& aLastValue,
             std::mutex& aMutex,
             std::string_view aExpected)
{
  for (int i = 0; i < 1000; ++i) {
    {
      const std::scoped_lock lock(aMutex);
      if (aLastValue == aExpected) {
        return true;
      }
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  return false;
}

/// A store or relay that answers each list request or relayed call with the
/// next response of a series, and then with the last one.
struct ScriptedStore
{
  http::Loopback m_loopback{ http::AnyPort() };
  std::vector<http::Response> m_responses;
  std::atomic<size_t> m_requests{ 0 };

  explicit ScriptedStore(std::vector<http::Response> aResponses)
    : m_responses(std::move(aResponses))
  {
    for (const auto& [method, path] :
         { std::pair("GET", "/watch/"),
           std::pair("POST", "/objectstore/relay") }) {
      m_loopback.Http().AddRoute(
        { method, path, [this](http::Exchange& aExchange) {
           return Handle(aExchange);
         } });
    }
    m_loopback.Listen();
  }

  boost::asio::awaitable<void> Handle(http::Exchange& aExchange)
  {
    const size_t request = m_requests.fetch_add(1);
    co_await kernel::SleepUntil(kernel::Now() + milliseconds(10));
    http::Response response =
      m_responses[std::min(request, m_responses.size() - 1)];
    co_await aExchange.RespondIgnoringErrors(std::move(response));
  }
};

http::Response
ListResponse(uint64_t aRevision, std::string aValue)
{
  http::Response response;
  const std::vector<StoredObject> objects{
    { { "kind", "name" }, aRevision, std::move(aValue), "" }
  };
  response.m_body = EncodeBuiltInList(aRevision, objects);
  return response;
}

http::Response
ErrorResponse(uint32_t aStatus)
{
  http::Response response;
  response.m_head.m_status = aStatus;
  return response;
}

/// Returns an endpoint on which nothing listens any more.
core::Endpoint
ClosedPort()
{
  const http::RawServer server("");
  return server.Endpoint();
}

} // namespace

TEST_CASE("a host without access to the store writes through a relay")
{
  StoreFixture store;
  const RelayHost relay(store.m_loopback.Self());
  HostPair hosts(ClosedPort());
  const std::vector<core::Endpoint> peers{ relay.m_loopback.Self() };
  hosts.m_remoteClient->SetCallRelays(peers);
  CHECK(hosts.WriteFromRemoteHost("far").ok());
  CHECK(store.Read()->m_value == "far");
}

// Guards against a promise that a write was not executed although one of two
// ways to the store may have passed it on (REFUSED).
TEST_CASE("a write that a relay may have passed on has an unknown outcome, "
          "whatever the next relay says")
{
  http::Response failed = ErrorResponse(502);
  failed.m_head.m_headers.push_back({ "X-Heatherdeal-Relay-Failed", "1" });
  const ScriptedStore relayWithoutAnswer({ failed });
  const ScriptedStore relayTurnedAway({ ErrorResponse(kUnavailable) });
  HostPair hosts(ClosedPort());
  std::vector<core::Endpoint> relays{ relayWithoutAnswer.m_loopback.Self() };
  SECTION("the next relay is turned away")
  {
    relays.push_back(relayTurnedAway.m_loopback.Self());
  }
  SECTION("there is no other relay") {}
  hosts.m_remoteClient->SetCallRelays(relays);
  const auto written = hosts.WriteFromRemoteHost("value");
  CHECK(relayWithoutAnswer.m_requests.load() == 1);
  REQUIRE_FALSE(written.ok());
  CHECK(ExecutedOf(written.status()) == core::Executed::Unknown);
}

// Guards against the same promise where the store closed a kept connection
// after it had received the write, and rejected the second copy.
TEST_CASE("a write that was sent on a kept connection before has an unknown "
          "outcome, although its second copy is rejected")
{
  const http::CrashingServer store(
    "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
    http::CrashMode::Restarted);
  HostPair hosts(store.Endpoint());
  const auto rejected = hosts.WriteFromRemoteHost("value");
  CHECK(ExecutedOf(rejected.status()) == core::Executed::No);
  const auto sentTwice =
    hosts.WriteFromRemoteHost(std::string(http::CrashingServer::kCrashMarker));
  CHECK(store.HasCrashed());
  CHECK(ExecutedOf(sentTwice.status()) == core::Executed::Unknown);
}

TEST_CASE(
  "a host watches through a relay, and polls the store once the relay stops")
{
  StoreFixture store;
  std::mutex mutex;
  std::string lastValue;
  auto relay = std::make_unique<RelayHost>(store.m_loopback.Self());
  relay->m_loopback.Kernel().Control().Post([&] {
    relay->m_store->Watch("kind", [](std::span<const StoredObject>) {});
  });
  HostPair hosts(store.m_loopback.Self());
  const std::vector<core::Endpoint> relays{ relay->m_loopback.Self() };
  hosts.m_remoteClient->SetWatchRelays(relays);
  hosts.Watch(lastValue, mutex);
  const auto first = store.Write(0, "a");
  REQUIRE(first.ok());
  CHECK(WaitForValue(lastValue, mutex, "a"));
  const auto second = store.Write(*first, "b");
  REQUIRE(second.ok());
  CHECK(WaitForValue(lastValue, mutex, "b"));
  relay.reset();
  REQUIRE(store.Write(*second, "c").ok());
  CHECK(WaitForValue(lastValue, mutex, "c"));
}

TEST_CASE("after a gap in the history, a list from a stale replica is ignored")
{
  constexpr uint32_t kGone = 410;
  ScriptedStore store({ ListResponse(10, "current"),
                        ErrorResponse(kGone),
                        ListResponse(5, "stale"),
                        ListResponse(11, "newer") });
  HostPair hosts(store.m_loopback.Self());
  std::mutex mutex;
  std::vector<std::string> values;
  hosts.m_remoteLoopback.Kernel().Control().Post([&] {
    hosts.m_remoteClient->Watch("kind",
                                [&](std::span<const StoredObject> aObjects) {
                                  const std::scoped_lock lock(mutex);
                                  values.push_back(aObjects.front().m_value);
                                });
  });
  for (int i = 0; i < 1000; ++i) {
    std::this_thread::sleep_for(milliseconds(10));
    const std::scoped_lock lock(mutex);
    if (!values.empty() && values.back() == "newer") {
      break;
    }
  }
  const std::scoped_lock lock(mutex);
  REQUIRE_FALSE(values.empty());
  CHECK(values.front() == "current");
  CHECK(values.back() == "newer");
  CHECK(std::ranges::find(values, "stale") == values.end());
}

// Pattern: an outage of the store with hundreds of hosts that follow relays. If
// each of them called the store itself, it would get thousands of calls that it
// cannot answer.
TEST_CASE(
  "while relays report an outage, a host calls the store rarely, and it "
  "follows the relays again afterwards")
{
  ScriptedStore store({ ErrorResponse(kUnavailable) });
  std::vector<http::Response> relayed(8, ErrorResponse(kUnavailable));
  relayed.insert(relayed.begin(), ListResponse(10, "before"));
  relayed.push_back(ListResponse(11, "after"));
  ScriptedStore relay(relayed);
  HostPair hosts(store.m_loopback.Self(), { relay.m_loopback.Self() });
  const std::vector<core::Endpoint> relays{ relay.m_loopback.Self() };
  hosts.m_remoteClient->SetWatchRelays(relays);
  std::mutex mutex;
  std::string lastValue;
  hosts.Watch(lastValue, mutex);
  CHECK(WaitForValue(lastValue, mutex, "after"));
  // Eight responses of the relay take 2.4 s.
  CHECK(store.m_requests.load() <= 2);
}

TEST_CASE(
  "a relay that retains an object after its own outage does not report it "
  "to others")
{
  http::Response emptyList;
  emptyList.m_body = EncodeBuiltInList(12, {});
  std::vector<http::Response> responses(6, ErrorResponse(kUnavailable));
  responses.insert(responses.begin(), ListResponse(10, "a"));
  responses.push_back(emptyList);
  ScriptedStore store(responses);
  RelayHost relay(store.m_loopback.Self());
  std::mutex mutex;
  std::vector<size_t> relayCounts;
  relay.m_loopback.Kernel().Control().Post([&] {
    relay.m_store->WatchWithExpiryGrace(
      "kind", [&](std::span<const StoredObject> aObjects) {
        const std::scoped_lock lock(mutex);
        relayCounts.push_back(aObjects.size());
      });
  });
  HostPair hosts(ClosedPort(), { relay.m_loopback.Self() });
  const std::vector<core::Endpoint> relays{ relay.m_loopback.Self() };
  hosts.m_remoteClient->SetWatchRelays(relays);
  std::vector<size_t> followerCounts;
  hosts.m_remoteLoopback.Kernel().Control().Post([&] {
    hosts.m_remoteClient->Watch("kind",
                                [&](std::span<const StoredObject> aObjects) {
                                  const std::scoped_lock lock(mutex);
                                  followerCounts.push_back(aObjects.size());
                                });
  });
  for (int i = 0; i < 1000; ++i) {
    std::this_thread::sleep_for(milliseconds(10));
    const std::scoped_lock lock(mutex);
    if (!followerCounts.empty() && followerCounts.back() == 0) {
      break;
    }
  }
  const std::scoped_lock lock(mutex);
  CHECK(followerCounts == std::vector<size_t>{ 1, 0 });
  REQUIRE(relayCounts.size() >= 2);
  // The relay itself still has the object.
  CHECK(relayCounts[1] == 1);
}

TEST_CASE(
  "a host whose relays are cut off from the store watches the store itself")
{
  StoreFixture store;
  ScriptedStore relay({ ErrorResponse(kUnavailable) });
  HostPair hosts(store.m_loopback.Self());
  const std::vector<core::Endpoint> relays{ relay.m_loopback.Self() };
  hosts.m_remoteClient->SetWatchRelays(relays);
  std::mutex mutex;
  std::string lastValue;
  hosts.Watch(lastValue, mutex);
  uint64_t version = 0;
  size_t relayRequests = 0;
  for (const std::string value : { "a", "b", "c", "d" }) {
    const auto written = store.Write(version, value);
    REQUIRE(written.ok());
    version = *written;
    CHECK(WaitForValue(lastValue, mutex, value));
    if (value == "b") {
      relayRequests = relay.m_requests.load();
    }
  }
  // The relay is asked again after each change, not while the store is watched.
  CHECK(relay.m_requests.load() <= relayRequests + 4);
}

// Guards against a host that learns of changes many seconds late, because it
// still waits for relays that it no longer has (DRAIN).
TEST_CASE("a host that stops following relays during an outage relists at once")
{
  constexpr int kRelists = 10;
  StoreFixture store;
  REQUIRE(store.Write(0, "a").ok());
  ScriptedStore relay({ ErrorResponse(kUnavailable) });
  HostPair hosts(store.m_loopback.Self());
  const std::vector<core::Endpoint> relays{ relay.m_loopback.Self() };
  const std::vector<std::string> kinds{ "kind", "other", "third" };
  std::map<std::string, std::atomic<int>> lists;
  for (const std::string& kind : kinds) {
    lists[kind] = 0;
  }
  kernel::ControlThread& control = hosts.m_remoteLoopback.Kernel().Control();
  control.Post([&] {
    hosts.m_remoteClient->SetWatchRelays(relays);
    for (const std::string& kind : kinds) {
      hosts.m_remoteClient->Watch(
        kind, [&lists, kind](std::span<const StoredObject>) {
          lists[kind].fetch_add(1);
        });
    }
  });
  std::this_thread::sleep_for(seconds(3));
  // From now on the host is one of those that watch the store for others.
  control.Post([&] { hosts.m_remoteClient->SetWatchRelays({}); });
  std::this_thread::sleep_for(seconds(1));
  for (const std::string& kind : kinds) {
    lists[kind] = 0;
  }
  for (int i = 0; i < kRelists; ++i) {
    control.Post([&] {
      for (const std::string& kind : kinds) {
        hosts.m_remoteClient->RelistIfOlderThan(kind, UINT64_MAX);
      }
    });
    std::this_thread::sleep_for(milliseconds(400));
  }
  for (const std::string& kind : kinds) {
    INFO(kind);
    CHECK(lists[kind].load() >= kRelists - 1);
  }
}

TEST_CASE(
  "a starting host lists a kind from a bootstrap relay, without calling "
  "the store")
{
  StoreFixture store;
  REQUIRE(store.Write(0, "a").ok());
  RelayHost relay(store.m_loopback.Self());
  relay.m_loopback.Kernel().Control().Post([&] {
    relay.m_store->Watch("kind", [](std::span<const StoredObject>) {});
  });
  // The store cannot be reached directly, and the first relay is down.
  HostPair hosts(ClosedPort(), { ClosedPort(), relay.m_loopback.Self() });
  std::mutex mutex;
  std::string lastValue;
  hosts.Watch(lastValue, mutex);
  CHECK(WaitForValue(lastValue, mutex, "a"));
}

TEST_CASE("a starting host asks the store if no bootstrap relay answers")
{
  StoreFixture store;
  REQUIRE(store.Write(0, "a").ok());
  HostPair hosts(store.m_loopback.Self(), { ClosedPort() });
  std::mutex mutex;
  std::string lastValue;
  hosts.Watch(lastValue, mutex);
  CHECK(WaitForValue(lastValue, mutex, "a"));
}

TEST_CASE("the call budget reserves a share for higher priorities")
{
  CallBudgetState state{ 8.0, core::Instant{} };
  const CallBudgetPolicy policy{ 1.0, 8.0 };
  int statusCalls = 0;
  while (TryTakeCall(state, policy, CallPriority::Status, core::Instant{})) {
    ++statusCalls;
  }
  CHECK(statusCalls == 4);
  int configurationCalls = 0;
  while (
    TryTakeCall(state, policy, CallPriority::Configuration, core::Instant{})) {
    ++configurationCalls;
  }
  CHECK(configurationCalls == 2);
  int leaseCalls = 0;
  while (TryTakeCall(state, policy, CallPriority::Lease, core::Instant{})) {
    ++leaseCalls;
  }
  CHECK(leaseCalls == 2);
  CHECK(
    TryTakeCall(state, policy, CallPriority::Lease, core::Instant(seconds(1))));
}

TEST_CASE("the back-off delay doubles up to its maximum, with seeded jitter")
{
  BackoffState state;
  const BackoffPolicy policy{ milliseconds(100), seconds(2) };
  for (int i = 0; i < 40; ++i) {
    const core::Duration full = std::min<core::Duration>(
      milliseconds(100) * (1LL << std::min(i, 10)), seconds(2));
    const core::Duration delay =
      NextRetryTime(state, policy, core::Instant{}).time_since_epoch();
    CHECK(delay <= full);
    CHECK(delay >= full / 2);
  }
}

namespace {

constexpr std::string_view kConfirmedHeader = "X-Heatherdeal-Confirmed-Ms";

ObjectStoreSettings
SettingsWithConfirmation(const core::Endpoint& aStoreEndpoint)
{
  ObjectStoreSettings settings;
  settings.m_endpoints = { aStoreEndpoint };
  settings.m_callTimeout = milliseconds(500);
  settings.m_longPollWait = seconds(5);
  settings.m_confirmedKinds = { "kind" };
  settings.m_confirmationWait = milliseconds(200);
  settings.m_backoff.m_maxDelay = milliseconds(100);
  settings.m_budget = { 1000.0, 1000.0 };
  return settings;
}

/// A host that watches the kind "kind".
struct Watcher
{
  http::Loopback m_loopback{ http::AnyPort() };
  std::shared_ptr<ObjectStore> m_store;

  explicit Watcher(const core::Endpoint& aStoreEndpoint,
                   std::vector<core::Endpoint> aRelays = {})
  {
    m_store = std::make_shared<ObjectStore>(
      m_loopback.Kernel(), SettingsWithConfirmation(aStoreEndpoint));
    m_loopback.Http().AddRoute(
      { "GET", "/watch/", [this](http::Exchange& aExchange) {
         return m_store->ServeRelayedWatch(aExchange);
       } });
    m_loopback.Listen();
    std::promise<void> started;
    m_loopback.Kernel().Control().Post([&] {
      m_store->Watch("kind", [](std::span<const StoredObject>) {});
      m_store->SetWatchRelays(aRelays);
      started.set_value();
    });
    started.get_future().get();
  }

  core::Instant Confirmed() const
  {
    return m_store->FindConfirmedTime("kind")->Read();
  }

  /// Waits until a state that is not older than the instant is confirmed.
  /// Returns false if that takes too long.
  bool WaitForConfirmation(core::Instant aSince) const
  {
    const core::Instant limit = kernel::Now() + seconds(10);
    while (Confirmed() < aSince && kernel::Now() < limit) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    return Confirmed() >= aSince;
  }
};

} // namespace

// Guards against a host that counts its state as the newest while it cannot
// know of changes, and against one that never counts it as such.
TEST_CASE("a state is confirmed as long as the store answers")
{
  StoreFixture store;
  REQUIRE(store.Write(0, "a").ok());
  const Watcher watcher(store.m_loopback.Self());
  CHECK(watcher.WaitForConfirmation(kernel::Now()));
  CHECK(watcher.WaitForConfirmation(kernel::Now()));
  CHECK(watcher.Confirmed() <= kernel::Now());
  CHECK(watcher.m_store->FindConfirmedTime("other") == nullptr);
  SECTION("the store is down")
  {
    store.m_api->SetFaults({ .m_down = true });
  }
  SECTION("the store does not answer")
  {
    store.m_api->SetFaults({ .m_delay = seconds(5) });
  }
  const core::Instant failedAt = kernel::Now();
  std::this_thread::sleep_for(milliseconds(600));
  CHECK(watcher.Confirmed() <= failedAt + milliseconds(200));
  store.m_api->SetFaults({});
  CHECK(watcher.WaitForConfirmation(failedAt + milliseconds(600)));
}

// Guards against an answer that was delayed on its way and counts as new.
TEST_CASE("an answer that arrives late confirms the state at its request")
{
  StoreFixture store;
  store.m_api->SetFaults({ .m_delay = milliseconds(300) });
  const core::Instant before = kernel::Now();
  const Watcher watcher(store.m_loopback.Self());
  CHECK(watcher.WaitForConfirmation(before));
  CHECK(watcher.Confirmed() <= kernel::Now() - milliseconds(300));
}

// Guards against a host that trusts a relay which has lost the store.
TEST_CASE("a state from a relay is as old as that of the relay")
{
  StoreFixture store;
  REQUIRE(store.Write(0, "a").ok());
  const Watcher relay(store.m_loopback.Self());
  REQUIRE(relay.WaitForConfirmation(kernel::Now()));
  const Watcher follower(store.m_loopback.Self(), { relay.m_loopback.Self() });
  CHECK(follower.WaitForConfirmation(kernel::Now()));
  CHECK(follower.WaitForConfirmation(kernel::Now()));
  store.m_api->SetFaults({ .m_delay = seconds(8) });
  const core::Instant failedAt = kernel::Now();
  std::this_thread::sleep_for(milliseconds(1200));
  // The long poll of the relay is still under way.
  CHECK(follower.Confirmed() <= failedAt + milliseconds(200));
  CHECK(follower.Confirmed() <= relay.Confirmed());
}

// Guards against a state that is taken for the newest because a relay of an
// earlier release, which does not say so, has sent it.
TEST_CASE("an answer of a relay that does not tell its age confirms nothing")
{
  const bool tellsAge = GENERATE(false, true);
  http::Response response = ListResponse(5, "a");
  if (tellsAge) {
    response.m_head.m_headers.push_back(
      { std::string(kConfirmedHeader), "-250" });
  }
  const ScriptedStore relay({ response });
  http::Loopback loopback(http::AnyPort());
  loopback.Listen();
  ObjectStoreSettings settings = SettingsWithConfirmation(ClosedPort());
  settings.m_bootstrapRelays = { relay.m_loopback.Self() };
  settings.m_bootstrapTime = seconds(5);
  const auto client =
    std::make_shared<ObjectStore>(loopback.Kernel(), settings);
  const auto isListed = std::make_shared<std::atomic<bool>>(false);
  loopback.Kernel().Control().Post([client, isListed] {
    client->Watch("kind", [isListed](std::span<const StoredObject>) {
      isListed->store(true);
    });
  });
  const core::Instant limit = kernel::Now() + seconds(10);
  while (!isListed->load() && kernel::Now() < limit) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  REQUIRE(isListed->load());
  std::this_thread::sleep_for(milliseconds(200));
  const core::Instant confirmed = client->FindConfirmedTime("kind")->Read();
  if (tellsAge) {
    CHECK(confirmed <= kernel::Now() - milliseconds(250));
    CHECK(confirmed >= kernel::Now() - seconds(5));
  } else {
    CHECK(confirmed == core::Instant::min());
  }
}

} // namespace heatherdeal::objectstore
