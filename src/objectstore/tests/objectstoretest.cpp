#include "objectstore/objectstore.h"

#include <future>
#include <thread>

#include "catch2/catch.hpp"

#include "http/tests/loopback.h"
#include "standin/objectapi/objectapi.h"

namespace heatherdeal::objectstore {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The object API stand-in and a client of it.
struct Store
{
  http::Loopback m_loopback{ http::AnyPort() };
  std::shared_ptr<standin::ObjectApi> m_api;
  std::shared_ptr<ObjectStore> m_store;

  Store()
  {
    m_api = std::make_shared<standin::ObjectApi>(m_loopback.Kernel());
    m_api->AddRoutes();
    m_loopback.Listen();
    ObjectStoreSettings settings;
    settings.m_endpoints = { m_loopback.Self() };
    settings.m_callTime = milliseconds(500);
    settings.m_watchTime = seconds(5);
    settings.m_budget = { 1000.0, 1000.0 };
    m_store = std::make_shared<ObjectStore>(m_loopback.Kernel(), settings);
  }

  absl::StatusOr<uint64_t> Write(uint64_t aIfVersion, std::string aValue)
  {
    std::promise<absl::StatusOr<uint64_t>> done;
    m_loopback.Kernel().Control().Post([&] {
      m_store->Write({ "kind", "name" },
                     aIfVersion,
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

TEST_CASE("what a write comes to under each fault of the store")
{
  Store store;
  const auto made = store.Write(0, "a");
  REQUIRE(made.ok());

  SECTION("conflict")
  {
    const auto conflict = store.Write(*made + 7, "b");
    CHECK(absl::IsAborted(conflict.status()));
    CHECK(store.Read()->m_value == "a");
  }
  SECTION("reply lost after the write took effect")
  {
    store.m_api->SetFaults({ .m_lostReplies = 1 });
    const auto written = store.Write(*made, "b");
    REQUIRE(written.ok());
    CHECK(store.Read()->m_version == *written);
    CHECK(store.Read()->m_value == "b");
  }
  SECTION("down")
  {
    store.m_api->SetFaults({ .m_down = true });
    const auto written = store.Write(*made, "b");
    REQUIRE_FALSE(written.ok());
    CHECK(ExecutedOf(written.status()) == core::Executed::Unknown);
  }
  SECTION("throttled")
  {
    store.m_api->SetFaults({ .m_throttledRequests = 1 });
    const auto written = store.Write(*made, "b");
    REQUIRE_FALSE(written.ok());
    CHECK(ExecutedOf(written.status()) == core::Executed::No);
    CHECK(store.Read()->m_value == "a");
  }
  SECTION("slower than the caller waits")
  {
    store.m_api->SetFaults({ .m_delay = milliseconds(1500) });
    const auto written = store.Write(*made, "b");
    REQUIRE_FALSE(written.ok());
    CHECK(ExecutedOf(written.status()) == core::Executed::Unknown);
  }
  SECTION("a value over a megabyte is not sent")
  {
    const auto written =
      store.Write(*made, std::string(kMaxValueBytes + 1, 'x'));
    REQUIRE_FALSE(written.ok());
    CHECK(ExecutedOf(written.status()) == core::Executed::No);
  }
}

TEST_CASE("an object that is not there reads as version 0")
{
  Store store;
  const auto object = store.Read();
  REQUIRE(object.ok());
  CHECK(object->m_version == 0);
}

TEST_CASE("a watch tells of changes, and goes on after an outage")
{
  Store store;
  std::mutex mutex;
  std::condition_variable changed;
  std::string seen;
  store.m_loopback.Kernel().Control().Post([&] {
    store.m_store->Watch("kind", [&](std::span<const StoredObject> aObjects) {
      const std::scoped_lock lock(mutex);
      seen = aObjects.empty() ? "" : aObjects.front().m_value;
      changed.notify_all();
    });
  });
  const auto waitFor = [&](std::string_view aValue) {
    std::unique_lock lock(mutex);
    return changed.wait_for(lock, seconds(20), [&] { return seen == aValue; });
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

/// A host that may be cut from the store, next to one that is not.
struct Neighbours
{
  Store m_near;
  http::Loopback m_farLoopback{ http::AnyPort() };
  std::shared_ptr<ObjectStore> m_far;

  explicit Neighbours(const core::Endpoint& aStoreOfFar)
  {
    m_farLoopback.Listen();
    ObjectStoreSettings settings;
    settings.m_endpoints = { aStoreOfFar };
    settings.m_callTime = milliseconds(1500);
    settings.m_budget = { 1000.0, 1000.0 };
    m_far = std::make_shared<ObjectStore>(m_farLoopback.Kernel(), settings);
  }

  void Watch(std::string& aSeen, std::mutex& aMutex)
  {
    m_farLoopback.Kernel().Control().Post([&] {
      m_far->Watch("kind", [&](std::span<const StoredObject> aObjects) {
        const std::scoped_lock lock(aMutex);
        aSeen = aObjects.empty() ? "" : aObjects.front().m_value;
      });
    });
  }
};

/// A host that passes on calls and what it watches.
struct Relaying
{
  http::Loopback m_loopback{ http::AnyPort() };
  std::shared_ptr<ObjectStore> m_store;

  explicit Relaying(const core::Endpoint& aStore)
  {
    ObjectStoreSettings settings;
    settings.m_endpoints = { aStore };
    settings.m_budget = { 1000.0, 1000.0 };
    m_store = std::make_shared<ObjectStore>(m_loopback.Kernel(), settings);
    m_loopback.Http().AddRoute(
      { "POST", "/objectstore/relay", [this](http::Exchange& aExchange) {
         return m_store->ServePeer(aExchange);
       } });
    m_loopback.Http().AddRoute(
      { "GET", "/watch/", [this](http::Exchange& aExchange) {
         return m_store->ServeRelay(aExchange);
       } });
    m_loopback.Listen();
  }
};

core::Endpoint
ClosedPort()
{
  const http::RawServer server("");
  return server.Endpoint();
}

} // namespace

TEST_CASE("a host that the store turns away writes by way of another")
{
  Store store;
  const Relaying relay(store.m_loopback.Self());
  Neighbours neighbours(ClosedPort());
  const std::vector<core::Endpoint> peers{ relay.m_loopback.Self() };
  neighbours.m_far->SetPeers(peers);
  std::promise<absl::StatusOr<uint64_t>> done;
  neighbours.m_farLoopback.Kernel().Control().Post([&] {
    neighbours.m_far->Write({ "kind", "name" },
                            0,
                            "far",
                            CallPriority::Lease,
                            [&](absl::StatusOr<uint64_t> aVersion) {
                              done.set_value(std::move(aVersion));
                            });
  });
  CHECK(done.get_future().get().ok());
  CHECK(store.Read()->m_value == "far");
}

TEST_CASE("a host follows what another watches, and the store without it")
{
  Store store;
  std::mutex mutex;
  std::string seen;
  auto relay = std::make_unique<Relaying>(store.m_loopback.Self());
  relay->m_loopback.Kernel().Control().Post([&] {
    relay->m_store->Watch("kind", [](std::span<const StoredObject>) {});
  });
  Neighbours neighbours(store.m_loopback.Self());
  const std::vector<core::Endpoint> relays{ relay->m_loopback.Self() };
  neighbours.m_far->SetRelays(relays);
  neighbours.Watch(seen, mutex);
  const auto waitFor = [&](std::string_view aValue) {
    for (int i = 0; i < 1000; ++i) {
      {
        const std::scoped_lock lock(mutex);
        if (seen == aValue) {
          return true;
        }
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  };
  const auto first = store.Write(0, "a");
  REQUIRE(first.ok());
  CHECK(waitFor("a"));
  const auto second = store.Write(*first, "b");
  REQUIRE(second.ok());
  CHECK(waitFor("b"));
  relay.reset();
  REQUIRE(store.Write(*second, "c").ok());
  CHECK(waitFor("c"));
}

TEST_CASE("the call budget keeps a part for higher priorities")
{
  CallBudgetState state{ 8.0, core::Instant{} };
  const CallBudgetPolicy policy{ 1.0, 8.0 };
  int status = 0;
  while (TakeCall(state, policy, CallPriority::Status, core::Instant{})) {
    ++status;
  }
  CHECK(status == 4);
  int configuration = 0;
  while (
    TakeCall(state, policy, CallPriority::Configuration, core::Instant{})) {
    ++configuration;
  }
  CHECK(configuration == 2);
  int lease = 0;
  while (TakeCall(state, policy, CallPriority::Lease, core::Instant{})) {
    ++lease;
  }
  CHECK(lease == 2);
  CHECK(
    TakeCall(state, policy, CallPriority::Lease, core::Instant(seconds(1))));
}

TEST_CASE("backoff doubles to its limit, with jitter from a seed")
{
  BackoffState state;
  const BackoffPolicy policy{ milliseconds(100), seconds(2) };
  for (int i = 0; i < 40; ++i) {
    const core::Duration full = std::min<core::Duration>(
      milliseconds(100) * (1LL << std::min(i, 10)), seconds(2));
    const core::Duration delay =
      NextTry(state, policy, core::Instant{}).time_since_epoch();
    CHECK(delay <= full);
    CHECK(delay >= full / 2);
  }
}

} // namespace heatherdeal::objectstore
