#include "relay/reachmonitor.h"

#include <algorithm>
#include <random>

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"

#include "http/client.h"
#include "http/exchange.h"
#include "kernel/eventlog.h"

namespace heatherdeal::relay {

namespace {

namespace asio = boost::asio;

// Enough that a few crashed upstreams are not taken for a partition.
constexpr size_t kCheckedUpstreams = 3;
// The round trip to upstreams takes a few milliseconds.
constexpr core::Duration kConnectTimeout = std::chrono::milliseconds(250);

/// The attempts of one check to connect.
struct Check
{
  size_t m_pending = 0;
  bool m_hasConnected = false;
};

std::vector<core::Endpoint>
DrawUpstreams(const routing::Pools& aPools)
{
  std::vector<core::Endpoint> all;
  for (const auto& [name, pool] : aPools.m_byService) {
    for (const routing::Upstream& upstream : pool->m_upstreams) {
      if (!upstream.m_leaving) {
        all.push_back(upstream.m_endpoint);
      }
    }
  }
  std::vector<core::Endpoint> drawn;
  std::ranges::sample(all,
                      std::back_inserter(drawn),
                      kCheckedUpstreams,
                      std::minstd_rand(std::random_device()()));
  return drawn;
}

} // namespace

ReachMonitor::ReachMonitor(kernel::Context& aContext)
  : m_context(aContext)
  , m_router(aContext.Get<routing::Router>())
  , m_checkTimer(aContext.Control(),
                 [this] { HandleEvent(CheckTimeReached{}); })
{
}

void
ReachMonitor::ReportUnanswered()
{
  m_context.Control().Post(
    [self = shared_from_this()] { self->HandleEvent(RequestUnanswered{}); });
}

void
ReachMonitor::HandleEvent(const ReachabilityEvent& aEvent)
{
  const NextCheck next = Apply(m_state, aEvent, kernel::Now());
  const bool isCutOff = relay::IsCutOff(m_state);
  if (m_isCutOff.exchange(isCutOff) != isCutOff) {
    m_context.Metrics().Get("relay.cut_off_changes").Add();
    kernel::LogEvent(kernel::LogLevel::Warning,
                     "relay",
                     isCutOff ? "upstreams-unreachable" : "upstreams-reachable",
                     {});
  }
  if (next == NextCheck::Now) {
    StartCheck();
  }
  const auto* cutOff = std::get_if<CutOff>(&m_state);
  if (cutOff != nullptr && cutOff->m_nextCheckAt != core::Instant::max()) {
    m_checkTimer.Set(cutOff->m_nextCheckAt);
  }
}

void
ReachMonitor::StartCheck()
{
  const std::vector<core::Endpoint> upstreams =
    DrawUpstreams(*m_router->ReadPools());
  if (upstreams.empty()) {
    HandleEvent(CheckEnded{ true });
    return;
  }
  auto check = std::make_shared<Check>();
  check->m_pending = upstreams.size();
  for (const core::Endpoint& upstream : upstreams) {
    const auto handleEnd = [self = shared_from_this(),
                            check](std::exception_ptr, bool aConnected) {
      self->m_context.Control().Post([self, check, aConnected] {
        check->m_pending -= 1;
        check->m_hasConnected = check->m_hasConnected || aConnected;
        if (check->m_pending == 0) {
          self->HandleEvent(CheckEnded{ check->m_hasConnected });
        }
      });
    };
    asio::co_spawn(m_context.Traffic().Loop(m_context.Traffic().NextIndex()),
                   http::CanConnect(upstream, kernel::Now() + kConnectTimeout),
                   handleEnd);
  }
}

} // namespace heatherdeal::relay
