// Runs three candidates for the lease of orders on virtual time, with engines
// that ignore fencing tokens. Hosts restart empty, are paused or join later,
// the store fails, and versions are named all the while. Guards against a new
// holder that sends orders beside the previous one, and against a holder that
// sends none although engines are behind. To run with another seed:
// RC_PARAMS="seed=N max_success=M" test_weights

#include <memory>

#include "catch2/catch.hpp"
#include "rapidcheck.h"

#include "lease/actpermission.h"
#include "lease/lease.h"
#include "virtualworld/eventqueue.h"
#include "virtualworld/fakestore.h"
#include "weights/rollingupdate.h"

namespace heatherdeal::weights {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using virtualworld::EventQueue;
using virtualworld::FakeStore;
using virtualworld::Versioned;

constexpr size_t kHosts = 3;
constexpr size_t kEngines = 9;
constexpr core::Duration kLeaseDuration = seconds(3);
constexpr core::Duration kNetworkDelay = milliseconds(2);
constexpr core::Duration kLoadTime = milliseconds(900);
constexpr core::Duration kReportInterval = milliseconds(400);

/// An engine that ignores fencing tokens and records which host sent it an
/// order.
struct Engine
{
  core::WeightVersion m_version{ 1 };
  bool m_loading = false;
  std::optional<size_t> m_lastSender;
  uint64_t m_lastFence = 0;
  core::Instant m_lastOrderAt{};
};

struct World
{
  EventQueue m_queue;
  FakeStore<lease::LeaseRecord> m_store{ m_queue, milliseconds(5) };
  std::vector<Engine> m_engines{ kEngines };
  core::WeightVersion m_newest{ 1 };
  uint64_t m_overlaps = 0;
  uint64_t m_orders = 0;

  static core::UpstreamId EngineId(size_t aIndex)
  {
    return { std::to_string(aIndex) };
  }

  void ReceiveOrder(size_t aHost, const LoadOrder& aOrder)
  {
    Engine& engine = m_engines[std::stoul(aOrder.m_engine.m_value)];
    m_orders += 1;
    const bool hasNewSender =
      engine.m_lastSender && *engine.m_lastSender != aHost;
    const bool isTooEarly =
      hasNewSender && m_queue.Now() < engine.m_lastOrderAt + kLeaseDuration;
    if (isTooEarly || aOrder.m_fence < engine.m_lastFence) {
      m_overlaps += 1;
    }
    engine.m_lastSender = aHost;
    engine.m_lastFence = aOrder.m_fence;
    engine.m_lastOrderAt = m_queue.Now();
    if (engine.m_loading) {
      return;
    }
    engine.m_loading = true;
    m_queue.ScheduleAfter(kLoadTime, [&engine, version = aOrder.m_version] {
      engine.m_loading = false;
      engine.m_version = std::max(engine.m_version, version);
    });
  }

  size_t CountBehind() const
  {
    return static_cast<size_t>(
      std::ranges::count_if(m_engines, [this](const Engine& aEngine) {
        return aEngine.m_version < m_newest;
      }));
  }
};

/// A candidate that keeps the engines up to date while it holds the lease.
class Candidate
{
public:
  Candidate(World& aWorld, size_t aIndex)
    : m_world(aWorld)
    , m_index(aIndex)
  {
  }

  void Start()
  {
    m_incarnation += 1;
    m_isRunning = true;
    m_lease = lease::LeaseState{};
    m_lease.m_self = "host-" + std::to_string(m_index);
    m_lease.m_policy.m_duration = kLeaseDuration;
    m_lease.m_policy.m_renewInterval = seconds(1);
    m_lease.m_policy.m_safetyMargin = milliseconds(500);
    m_lease.m_policy.m_outagePolicy = lease::ActUntilSuperseded{};
    m_update = RollingUpdateState{};
    m_update.m_policy.m_concurrentLoads = 3;
    m_update.m_policy.m_unfencedOrderDelay = kLeaseDuration;
    EngineListChanged engines;
    for (size_t i = 0; i < kEngines; ++i) {
      engines.m_engines.push_back({ World::EngineId(i), false, false });
    }
    ApplyUpdateEvent(engines);
    ReadEngines();
    ApplyLeaseEvent(lease::DeadlineReached{});
  }

  void Stop()
  {
    m_incarnation += 1;
    m_isRunning = false;
  }

  void Pause(core::Duration aTime)
  {
    m_pausedUntil = std::max(m_pausedUntil, m_world.m_queue.Now() + aTime);
  }

  bool IsHolder() const { return m_isRunning && m_update.m_epoch != 0; }
  uint64_t DecidedOrders() const { return m_update.m_sentOrderCount; }

private:
  /// Runs the task when the process is not paused, unless it has ended.
  void RunLater(core::Duration aDelay, std::function<void()> aTask)
  {
    m_world.m_queue.ScheduleAfter(aDelay,
                                  Guarded(m_incarnation, std::move(aTask)));
  }

  std::function<void()> Guarded(uint64_t aIncarnation,
                                std::function<void()> aTask)
  {
    return [this, aIncarnation, aTask] {
      if (aIncarnation != m_incarnation) {
        return;
      }
      if (m_world.m_queue.Now() < m_pausedUntil) {
        m_world.m_queue.ScheduleAt(m_pausedUntil, Guarded(aIncarnation, aTask));
        return;
      }
      aTask();
    };
  }

  void ReadEngines()
  {
    ApplyUpdateEvent(TargetAnnounced{ m_world.m_newest });
    for (size_t i = 0; i < kEngines; ++i) {
      ApplyUpdateEvent(
        VersionObserved{ World::EngineId(i), m_world.m_engines[i].m_version });
    }
    RunLater(kReportInterval, [this] { ReadEngines(); });
  }

  void ApplyLeaseEvent(const lease::LeaseEvent& aEvent)
  {
    std::vector<lease::LeaseEffect> effects;
    Apply(m_lease, aEvent, m_world.m_queue.Now(), effects);
    for (const lease::LeaseEffect& effect : effects) {
      std::visit([this](const auto& aTyped) { Perform(aTyped); }, effect);
    }
    const uint64_t timer = ++m_leaseTimer;
    const core::Duration delay =
      lease::NextDeadline(m_lease) - m_world.m_queue.Now();
    RunLater(std::max(core::Duration::zero(), delay), [this, timer] {
      if (timer == m_leaseTimer) {
        ApplyLeaseEvent(lease::DeadlineReached{});
      }
    });
  }

  void Perform(const lease::ReadRecord&)
  {
    const uint64_t incarnation = m_incarnation;
    m_world.m_store.Read(
      "lease",
      [this, incarnation](absl::StatusOr<Versioned<lease::LeaseRecord>> aRead) {
        Guarded(incarnation, [this, aRead] {
          if (!aRead.ok()) {
            ApplyLeaseEvent(lease::ReadFailed{ core::ConnectionFailed{} });
            return;
          }
          lease::LeaseRecord record = aRead->m_value;
          record.m_version = aRead->m_version;
          ApplyLeaseEvent(lease::ReadSucceeded{ record });
        })();
      });
  }

  void Perform(const lease::WriteRecord& aEffect)
  {
    const uint64_t incarnation = m_incarnation;
    m_world.m_store.Write(
      "lease",
      aEffect.m_ifVersion,
      aEffect.m_record,
      [this, incarnation](absl::StatusOr<uint64_t> aVersion) {
        Guarded(incarnation, [this, aVersion] {
          if (aVersion.ok()) {
            ApplyLeaseEvent(lease::WriteSucceeded{ *aVersion });
          } else if (absl::IsAborted(aVersion.status())) {
            ApplyLeaseEvent(lease::WriteFailed{ core::VersionConflict{} });
          } else {
            ApplyLeaseEvent(lease::WriteFailed{ core::ConnectionFailed{} });
          }
        })();
      });
  }

  void Perform(const lease::LeaseGranted& aGrant)
  {
    m_permission = std::make_shared<lease::ActPermission>(aGrant.m_actUntil);
    ApplyUpdateEvent(LeaseAcquired{
      aGrant.m_epoch, aGrant.m_actUntil, aGrant.m_predecessorActedUntil });
  }

  void Perform(const lease::LeaseExtended& aExtension)
  {
    m_permission->ExtendTo(aExtension.m_actUntil);
    ApplyUpdateEvent(LeaseExtended{ aExtension.m_actUntil });
  }

  void Perform(const lease::LeaseLost&)
  {
    m_permission->Revoke();
    ApplyUpdateEvent(LeaseLost{});
  }

  void ApplyUpdateEvent(const RollingUpdateEvent& aEvent)
  {
    std::vector<RollingUpdateEffect> effects;
    Apply(m_update, aEvent, m_world.m_queue.Now(), effects);
    for (const RollingUpdateEffect& effect : effects) {
      SendOrder(std::get<LoadOrder>(effect));
    }
    const auto deadline = NextDeadline(m_update, m_world.m_queue.Now());
    if (!deadline) {
      return;
    }
    const uint64_t timer = ++m_updateTimer;
    const core::Duration delay = *deadline - m_world.m_queue.Now();
    RunLater(std::max(core::Duration::zero(), delay), [this, timer] {
      if (timer == m_updateTimer) {
        ApplyUpdateEvent(DeadlineReached{});
      }
    });
  }

  /// Sends the order after the time that reading the engine's report takes, in
  /// which the process may be paused.
  void SendOrder(const LoadOrder& aOrder)
  {
    RunLater(2 * kNetworkDelay, [this, aOrder, permission = m_permission] {
      if (m_world.m_queue.Now() >= permission->SendBefore(false)) {
        ApplyUpdateEvent(
          OrderFailed{ aOrder.m_engine,
                       aOrder.m_version,
                       core::DeadlineExceeded{ "order", core::Executed::No } });
        return;
      }
      m_world.m_queue.ScheduleAfter(kNetworkDelay, [this, aOrder] {
        m_world.ReceiveOrder(m_index, aOrder);
      });
    });
  }

  World& m_world;
  size_t m_index;
  bool m_isRunning = false;
  uint64_t m_incarnation = 0;
  core::Instant m_pausedUntil{};
  lease::LeaseState m_lease;
  RollingUpdateState m_update;
  std::shared_ptr<lease::ActPermission> m_permission;
  uint64_t m_leaseTimer = 0;
  uint64_t m_updateTimer = 0;
};

struct Cluster
{
  World m_world;
  std::vector<std::unique_ptr<Candidate>> m_candidates;

  Cluster()
  {
    for (size_t i = 0; i < kHosts; ++i) {
      m_candidates.push_back(std::make_unique<Candidate>(m_world, i));
    }
  }

  void RunUntil(core::Duration aTime)
  {
    m_world.m_queue.RunUntil(core::Instant(aTime));
  }

  void NameVersion() { m_world.m_newest.m_number += 1; }

  /// Returns when all engines serve the newest version, or nothing if that
  /// takes longer than aLimit.
  std::optional<core::Instant> RunUntilUpdated(core::Duration aLimit)
  {
    const core::Instant end = m_world.m_queue.Now() + aLimit;
    while (m_world.CountBehind() > 0 && m_world.m_queue.Now() < end) {
      m_world.m_queue.RunUntil(m_world.m_queue.Now() + milliseconds(100));
    }
    return m_world.CountBehind() == 0 ? std::optional(m_world.m_queue.Now())
                                      : std::nullopt;
  }
};

// Nine engines load three at a time, and a load is noticed with a delay.
constexpr core::Duration kUpdateTime =
  3 * (kLoadTime + kReportInterval + milliseconds(100));
// A follower reads the record every half second.
constexpr core::Duration kTakeoverTime =
  kLeaseDuration + milliseconds(600) + kLeaseDuration;

/// A fault of a candidate or of the store.
struct Fault
{
  /// 0 restarts a candidate, 1 pauses one, 2 takes the store down, 3 loses
  /// responses of the store.
  uint32_t m_kind = 0;
  /// Index of the candidate, or the number of lost responses minus one.
  uint32_t m_target = 0;
  uint32_t m_startTenths = 0;
  uint32_t m_durationTenths = 0;
};

void
showValue(const Fault& aFault, std::ostream& aStream)
{
  static constexpr const char* kKinds[] = {
    "restart", "pause", "store-down", "lose-responses"
  };
  aStream << "at " << aFault.m_startTenths / 10.0 << "s "
          << kKinds[aFault.m_kind] << " " << aFault.m_target << " for "
          << aFault.m_durationTenths / 10.0 << "s";
}

rc::Gen<Fault>
GenerateFault()
{
  return rc::gen::build<Fault>(
    rc::gen::set(&Fault::m_kind, rc::gen::inRange<uint32_t>(0, 4)),
    rc::gen::set(&Fault::m_target, rc::gen::inRange<uint32_t>(0, kHosts)),
    rc::gen::set(&Fault::m_startTenths, rc::gen::inRange<uint32_t>(0, 300)),
    rc::gen::set(&Fault::m_durationTenths, rc::gen::inRange<uint32_t>(1, 60)));
}

void
ScheduleFault(Cluster& aCluster, const Fault& aFault)
{
  EventQueue& queue = aCluster.m_world.m_queue;
  const core::Duration duration = milliseconds(100 * aFault.m_durationTenths);
  queue.ScheduleAfter(
    milliseconds(100 * aFault.m_startTenths), [&, aFault, duration] {
      Candidate& candidate = *aCluster.m_candidates[aFault.m_target];
      if (aFault.m_kind == 0) {
        candidate.Stop();
        queue.ScheduleAfter(duration, [&candidate] { candidate.Start(); });
      } else if (aFault.m_kind == 1) {
        candidate.Pause(duration);
      } else if (aFault.m_kind == 2) {
        aCluster.m_world.m_store.SetDown(true);
        queue.ScheduleAfter(duration,
                            [&] { aCluster.m_world.m_store.SetDown(false); });
      } else {
        aCluster.m_world.m_store.LoseReplies(1 + aFault.m_target);
      }
    });
}

} // namespace

TEST_CASE("a holder that restarts empty sends orders without a delay")
{
  Cluster cluster;
  cluster.m_candidates[0]->Start();
  cluster.RunUntil(seconds(10));
  cluster.m_candidates[0]->Stop();
  cluster.RunUntil(seconds(11));
  cluster.NameVersion();
  cluster.m_candidates[0]->Start();
  cluster.m_candidates[1]->Start();
  CHECK(cluster.RunUntilUpdated(kUpdateTime + milliseconds(500)).has_value());
  CHECK(cluster.m_world.m_overlaps == 0);
}

TEST_CASE("a version that is named while the holder is paused reaches the "
          "engines through the next holder")
{
  Cluster cluster;
  cluster.m_candidates[0]->Start();
  cluster.RunUntil(seconds(2));
  cluster.m_candidates[1]->Start();
  cluster.RunUntil(seconds(10));
  REQUIRE(cluster.m_candidates[0]->IsHolder());
  cluster.m_candidates[0]->Pause(seconds(60));
  cluster.NameVersion();
  CHECK(cluster.RunUntilUpdated(kTakeoverTime + kUpdateTime).has_value());
  CHECK(cluster.m_world.m_overlaps == 0);
}

TEST_CASE("a host that joins after its predecessor has failed orders the "
          "versions that were named before")
{
  Cluster cluster;
  cluster.m_candidates[0]->Start();
  cluster.RunUntil(seconds(10));
  cluster.m_candidates[0]->Stop();
  cluster.NameVersion();
  cluster.RunUntil(seconds(30));
  cluster.m_candidates[2]->Start();
  CHECK(cluster.RunUntilUpdated(kTakeoverTime + kUpdateTime).has_value());
  CHECK(cluster.m_world.m_overlaps == 0);
}

TEST_CASE("a holder that is paused between deciding on an order and sending it "
          "does not send it after the next holder has taken over")
{
  Cluster cluster;
  cluster.m_candidates[0]->Start();
  cluster.RunUntil(seconds(2));
  cluster.m_candidates[1]->Start();
  cluster.RunUntil(seconds(10));
  cluster.NameVersion();
  const EventQueue& queue = cluster.m_world.m_queue;
  while (cluster.m_candidates[0]->DecidedOrders() == 0) {
    cluster.m_world.m_queue.RunUntil(queue.Now() + milliseconds(1));
  }
  cluster.m_candidates[0]->Pause(seconds(8));
  REQUIRE(cluster.m_world.m_orders == 0);
  CHECK(cluster.RunUntilUpdated(kTakeoverTime + kUpdateTime).has_value());
  cluster.m_world.m_queue.RunUntil(queue.Now() + seconds(5));
  CHECK(cluster.m_world.m_overlaps == 0);
}

TEST_CASE("orders go on as soon as the store is back after an outage")
{
  Cluster cluster;
  cluster.m_candidates[0]->Start();
  cluster.RunUntil(seconds(10));
  cluster.m_world.m_store.SetDown(true);
  cluster.RunUntil(seconds(14));
  cluster.NameVersion();
  cluster.RunUntil(seconds(16));
  cluster.m_world.m_store.SetDown(false);
  CHECK(cluster.RunUntilUpdated(kUpdateTime + seconds(1)).has_value());
  CHECK(cluster.m_world.m_overlaps == 0);
}

TEST_CASE("under random faults, holders never send orders beside each other, "
          "and every named version reaches every engine")
{
  const bool passed = rc::check(
    "orders do not overlap and versions arrive", [](const std::vector<char>&) {
      const auto faults =
        *rc::gen::container<std::vector<Fault>>(GenerateFault());
      Cluster cluster;
      for (const Fault& fault : faults) {
        ScheduleFault(cluster, fault);
      }
      for (const auto& candidate : cluster.m_candidates) {
        candidate->Start();
      }
      for (int second = 2; second <= 36; second += 4) {
        cluster.RunUntil(seconds(second));
        cluster.NameVersion();
        RC_ASSERT(cluster.m_world.m_overlaps == 0U);
      }
      // All faults end by 36 s.
      const auto updated =
        cluster.RunUntilUpdated(kTakeoverTime + 2 * kUpdateTime);
      RC_ASSERT(updated.has_value());
      RC_ASSERT(cluster.m_world.m_overlaps == 0U);
    });
  CHECK(passed);
}

} // namespace heatherdeal::weights
