#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/activeconfiguration.h"
#include "core/ids.h"
#include "kernel/published.h"
#include "objectstore/hosts.h"
#include "routing/choice.h"
#include "routing/ejection.h"

namespace heatherdeal::routing {

/// What traffic threads count and note of one upstream. It outlives changes
/// of the host list.
struct UpstreamMeter
{
  std::atomic<uint32_t> m_outstanding{ 0 };
  std::atomic<uint32_t> m_reported{ 0 };
  std::atomic<int64_t> m_reportedAt{ 0 };
  std::atomic<int64_t> m_ejectedUntil{ 0 };
  /// It has refused a request lately and is left alone until then.
  std::atomic<int64_t> m_refusesUntil{ 0 };
  /// Refusals since it took a request; while there are any, one request at a
  /// time tries it.
  std::atomic<uint32_t> m_refusals{ 0 };
  /// Set by the upstream's own word.
  std::atomic<bool> m_leaving{ false };
  /// Smoothed time between the events of its streams, in microseconds, and
  /// when it was measured last; 0: not known.
  std::atomic<int64_t> m_pace{ 0 };
  std::atomic<int64_t> m_paceAt{ 0 };
  std::mutex m_mutex;
  EjectionState m_ejection;
  /// The start of the upstream that this meter belongs to.
  uint64_t m_incarnation = 0;
};

struct Upstream
{
  core::UpstreamId m_id;
  core::Endpoint m_endpoint;
  core::FailureDomainId m_failureDomain;
  uint32_t m_slots = 1;
  bool m_leaving = false;
  std::shared_ptr<UpstreamMeter> m_meter;
  std::vector<objectstore::ServedWeights> m_weights;
};

/// The upstreams of one service, as of one moment.
struct Pool
{
  configuration::Service m_service;
  std::vector<Upstream> m_upstreams;
};

struct Pools
{
  std::map<std::string, std::shared_ptr<const Pool>, std::less<>> m_byService;
};

/// An upstream chosen for one request; counts it as outstanding until it is
/// dropped.
class Ticket
{
public:
  Ticket(std::shared_ptr<const Pool> aPool, size_t aIndex);
  ~Ticket();
  Ticket(const Ticket&) = delete;
  Ticket& operator=(const Ticket&) = delete;

  const Upstream& Chosen() const { return m_pool->m_upstreams[m_index]; }
  size_t Index() const { return m_index; }

  void Succeeded();
  void Failed(core::Instant aNow);
  /// An event of a stream has come so long after the one before.
  void Paced(core::Duration aGap, core::Instant aNow);
  /// The upstream has no room now.
  void Refused(core::Instant aUntil);
  /// The upstream has taken the request.
  void Accepted();

private:
  std::shared_ptr<const Pool> m_pool;
  size_t m_index;
};

/// Chooses upstreams; any thread may ask.
class Router
{
public:
  explicit Router(std::string_view aOwnDomain);

  /// Control thread only.
  void SetHosts(std::span<const objectstore::HostEntry> aHosts);
  void SetDocument(const configuration::Document& aDocument);

  /// Null if there is no such service.
  std::shared_ptr<const Pool> Find(std::string_view aService) const;

  /// Null if no upstream of the pool may be used.
  std::unique_ptr<Ticket> Choose(const std::shared_ptr<const Pool>& aPool,
                                 TriedUpstreams aTried,
                                 core::Instant aNow);

private:
  void Rebuild();

  core::FailureDomainId m_ownDomain;
  std::atomic<uint64_t> m_ticket{ 0 };
  std::vector<objectstore::HostEntry> m_hosts;
  configuration::Document m_document;
  std::map<core::UpstreamId, std::shared_ptr<UpstreamMeter>> m_meters;
  kernel::Published<Pools> m_pools;
};

} // namespace heatherdeal::routing
