#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/activeconfiguration.h"
#include "core/ids.h"
#include "kernel/published.h"
#include "objectstore/hosts.h"
#include "routing/choice.h"
#include "routing/ejection.h"
#include "routing/pacing.h"
#include "routing/servicework.h"
#include "routing/workclass.h"

namespace heatherdeal::routing {

/// Paces requests to an upstream that has named a limit. Any thread.
class UpstreamPacing
{
public:
  bool IsLimited() const { return m_isLimited.load(); }
  /// Sets the requests per second that this host may send, or that there is no
  /// limit. A new limit begins without permits.
  void SetRate(const std::optional<double>& aRequestsPerSecond,
               core::Instant aNow);
  /// Returns when the next request may be sent; Instant{} if there is no limit.
  core::Instant NextPermitAt() const;
  /// Returns the requests per second that this host may send, 0 if there is no
  /// limit.
  double Rate() const;
  void TakePermit(core::Instant aNow);

private:
  std::atomic<bool> m_isLimited{ false };
  /// Guards m_permits.
  mutable std::mutex m_mutex;
  PacedPermits m_permits;
};

/// The demand of this host for a service, which traffic threads count.
struct ServiceDemand
{
  /// Requests to be sent so far, each counted once, however often it is tried.
  std::atomic<uint64_t> m_calls{ 0 };
  /// Batch items that wait for an upstream.
  std::atomic<uint32_t> m_waitingItems{ 0 };
  /// Calls that wait for a permit.
  std::atomic<uint32_t> m_waitingCalls{ 0 };
};

/// Statistics of one upstream that traffic threads update. They are kept across
/// changes of the host list. Times are in microseconds of the monotonic clock.
struct UpstreamStats
{
  std::atomic<uint32_t> m_outstanding{ 0 };
  std::atomic<uint32_t> m_reportedLoad{ 0 };
  /// Number of waiting requests and of slots that were last reported; 0 slots
  /// if none were.
  std::atomic<uint32_t> m_reportedWaiting{ 0 };
  std::atomic<uint32_t> m_reportedSlots{ 0 };
  std::atomic<int64_t> m_reportedAt{ 0 };
  /// Expected work of the outstanding requests.
  std::atomic<int64_t> m_outstandingWork{ 0 };
  std::atomic<int64_t> m_ejectedUntil{ 0 };
  /// When the head of a response last arrived, whatever its status.
  std::atomic<int64_t> m_answeredAt{ 0 };
  /// After a refusal, no batch items are sent until this time. Router ignores
  /// it.
  std::atomic<int64_t> m_avoidUntil{ 0 };
  /// Number of refusals since the last accepted request. Unless it is 0, only
  /// one batch item at a time is sent. Router ignores it.
  std::atomic<uint32_t> m_consecutiveRefusals{ 0 };
  UpstreamPacing m_pacing;
  /// Set when an answer of the upstream says that it leaves.
  std::atomic<bool> m_leaving{ false };
  /// Moving average of the time between the events of a stream, in
  /// microseconds, or 0 if not measured yet.
  std::atomic<int64_t> m_meanEventGap{ 0 };
  /// When m_meanEventGap was last updated.
  std::atomic<int64_t> m_meanEventGapUpdatedAt{ 0 };
  /// Guards m_ejection.
  std::mutex m_ejectionMutex;
  EjectionState m_ejection;
  /// Guards m_workTime.
  mutable std::mutex m_workTimeMutex;
  WorkTimeState m_workTime;
  /// Identifies the run of the upstream's process. A restart gets new
  /// statistics.
  uint64_t m_incarnation = 0;
};

/// An upstream with its entry in the host list and its statistics.
struct Upstream
{
  core::UpstreamId m_id;
  core::Endpoint m_endpoint;
  core::FailureDomainId m_failureDomain;
  uint32_t m_slots = 1;
  bool m_leaving = false;
  std::shared_ptr<UpstreamStats> m_stats;
  std::vector<objectstore::ServedWeights> m_weights;
  core::Software m_software;
};

/// Returns the identity of the upstream's process.
core::UpstreamRun
RunOf(const Upstream& aUpstream);

/// A snapshot of the upstreams of one service.
struct Pool
{
  configuration::Service m_service;
  std::vector<Upstream> m_upstreams;
  /// Kept across changes of the host list.
  std::shared_ptr<ServiceDemand> m_demand = std::make_shared<ServiceDemand>();
  /// Kept across changes of the host list. Null if work is not estimated.
  std::shared_ptr<ServiceWork> m_work;
};

/// What an answer of an upstream says of its load.
struct UpstreamLoad
{
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  /// 0 if not reported.
  uint32_t m_slots = 0;
  /// How long work takes, relative to the usual; 0 if not reported.
  double m_workTime = 0.0;
};

/// True if the pool has an upstream that does not leave.
bool
HasStayingUpstream(const Pool& aPool);

/// Returns the pool with only those upstreams that run the software and do not
/// leave. They keep their statistics.
std::shared_ptr<const Pool>
SelectSoftware(const Pool& aPool, const core::Software& aSoftware);

/// Adds the indices of the upstreams that run other software.
void
AddOtherSoftware(const Pool& aPool,
                 const core::Software& aSoftware,
                 std::vector<size_t>& aIndices);

/// The pools of all services, by service name.
struct Pools
{
  std::map<std::string, std::shared_ptr<const Pool>, std::less<>> m_byService;
};

/// An upstream that was chosen for one request. The request counts as
/// outstanding for the lifetime of this object.
class UpstreamReservation
{
public:
  /// Reserves for a request of which nothing is known.
  UpstreamReservation(std::shared_ptr<const Pool> aPool, size_t aIndex);
  UpstreamReservation(std::shared_ptr<const Pool> aPool,
                      size_t aIndex,
                      WorkKey aKey,
                      const ExpectedWork& aWork);
  ~UpstreamReservation();
  UpstreamReservation(const UpstreamReservation&) = delete;
  UpstreamReservation& operator=(const UpstreamReservation&) = delete;

  const Upstream& Chosen() const { return m_pool->m_upstreams[m_index]; }
  size_t Index() const { return m_index; }

  /// Records the load that an answer reports.
  void ReportLoad(const UpstreamLoad& aLoad, core::Instant aNow);
  /// Records that the request was executed and answered completely at aNow.
  void ReportCompletion(core::Instant aSentAt, core::Instant aNow);
  /// Records that the head of a response has arrived, whatever its status.
  void ReportAnswer(core::Instant aNow);
  /// Records that the request succeeded.
  void ReportSuccess();
  /// Records that the request failed, which may eject the upstream.
  void ReportFailure(core::Instant aNow);
  /// Records the time between two successive events of a stream.
  void ReportEventGap(core::Duration aGap, core::Instant aNow);
  /// Records that the upstream refused the request for lack of capacity, and
  /// that it gets none until aUntil.
  void ReportRefusal(core::Instant aUntil);
  /// Records that the upstream accepted the request.
  void ReportAcceptance();

private:
  std::shared_ptr<const Pool> m_pool;
  size_t m_index;
  WorkKey m_key;
  /// In microseconds of an upstream at usual speed.
  int64_t m_expectedWork = 0;
  /// What the upstream had last reported when the request was sent.
  bool m_hadWaiting = false;
  double m_workTimeAtSend = 1.0;
};

/// Records that the upstream leaves. It gets no new requests until its process
/// restarts.
void
ReportLeaving(const Upstream& aUpstream);

/// When requests may be sent to a service all of whose usable upstreams have
/// named limits that are used up.
struct PermitForecast
{
  core::Instant m_nextPermitAt{};
  /// Permits of this host at all usable upstreams together.
  double m_permitsPerSecond = 0.0;
};

/// Returns the forecast if only the upstreams' own limits keep a request from
/// being sent now.
std::optional<PermitForecast>
ForecastPermits(const Pool& aPool, core::Instant aNow);

/// Settings of the router.
struct RouterSettings
{
  /// True if plain services whose policy is TwoChoices use LeastExpectedWork.
  bool m_prefersExpectedWork = false;
};

/// Returns the policy by which the upstreams of a service are chosen.
configuration::RoutingPolicy
EffectivePolicy(const configuration::Service& aService,
                const RouterSettings& aSettings);

/// Chooses upstreams for requests. Functions may be called on any thread unless
/// stated otherwise.
class Router
{
public:
  /// A router whose counters nobody reads.
  explicit Router(std::string_view aOwnFailureDomain);
  /// aCounters has to outlive the router.
  Router(std::string_view aOwnFailureDomain,
         kernel::Counters& aCounters,
         const RouterSettings& aSettings);

  /// Must be called on the control thread only.
  void SetHosts(std::span<const objectstore::HostEntry> aHosts);
  /// Must be called on the control thread only.
  void SetDocument(const configuration::Document& aDocument);

  /// Returns the current pool of the service, or null if there is no such
  /// service.
  std::shared_ptr<const Pool> FindPool(std::string_view aService) const;

  /// Returns the current pools.
  std::shared_ptr<const Pools> ReadPools() const { return m_pools.Read(); }

  /// Returns the upstream with this id, if a service has it.
  std::optional<Upstream> FindUpstream(const core::UpstreamId& aId) const;

  /// Chooses an upstream for a request of the class by the service's routing
  /// policy. Returns null if no upstream of the pool is usable.
  std::unique_ptr<UpstreamReservation> ReserveUpstream(
    const std::shared_ptr<const Pool>& aPool,
    const WorkClass& aClass,
    TriedUpstreams aTried,
    core::Instant aNow);

private:
  void RebuildPools();

  core::FailureDomainId m_ownFailureDomain;
  kernel::Counters m_ownCounters;
  kernel::Counters& m_counters;
  RouterSettings m_settings;
  std::atomic<uint64_t> m_nextSequence{ 0 };
  std::vector<objectstore::HostEntry> m_hosts;
  configuration::Document m_document;
  std::map<core::UpstreamId, std::shared_ptr<UpstreamStats>> m_statsByUpstream;
  kernel::Published<Pools> m_pools;
};

} // namespace heatherdeal::routing
