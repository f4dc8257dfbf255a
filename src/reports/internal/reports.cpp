#include "reports/reports.h"

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/redirect_error.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"

#include "http/client.h"
#include "kernel/json.h"

namespace heatherdeal::reports {

namespace {

namespace asio = boost::asio;

constexpr core::Duration kCallTime = std::chrono::seconds(1);
constexpr size_t kLoopIndex = 0;

EngineStatus
ParseStatus(kernel::SettingsReader& aReader)
{
  const kernel::Range any{ 0, INT64_MAX };
  const kernel::Range count{ 0, UINT32_MAX };
  EngineStatus status;
  status.m_version.m_number =
    static_cast<uint64_t>(aReader.Integer("version", any));
  status.m_running = static_cast<uint32_t>(aReader.Integer("running", count));
  status.m_queued = static_cast<uint32_t>(aReader.Integer("queued", count));
  status.m_leaving = aReader.FlagOr("leaving", false);
  aReader.OptionalValue("slots");
  return status;
}

asio::awaitable<void>
AskOnce(std::shared_ptr<Reports> aReports,
        core::UpstreamId aEngine,
        core::Endpoint aPeer)
{
  http::Client& client =
    aReports->Kernel().Get<http::Clients>()->ForLoop(kLoopIndex);
  http::Request request;
  request.m_target = "/v1/load";
  const absl::StatusOr<http::Response> answer = co_await client.Call(
    aPeer, std::move(request), http::Reuse::Allowed, kernel::Now() + kCallTime);
  if (!answer.ok()) {
    aReports->Kernel().Metrics().Get("reports.failed").Add();
    co_return;
  }
  absl::StatusOr<EngineStatus> status =
    kernel::ParseMessage<EngineStatus>(answer->m_body, "load", ParseStatus);
  if (!status.ok()) {
    aReports->Kernel().Metrics().Get("reports.invalid").Add();
    co_return;
  }
  status->m_engine = aEngine;
  status->m_readAt = kernel::Now();
  aReports->Kernel().Control().Post(
    [aReports, status = *std::move(status)] { aReports->Accept(status); });
}

asio::awaitable<void>
AskAtIntervals(std::shared_ptr<Reports> aReports,
               core::UpstreamId aEngine,
               core::Endpoint aPeer)
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (aReports->IsWanted(aEngine)) {
    co_await AskOnce(aReports, aEngine, aPeer);
    timer.expires_after(aReports->Interval());
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

} // namespace

Reports::Reports(kernel::Context& aContext, core::Duration aInterval)
  : m_context(aContext)
  , m_interval(aInterval)
{
}

void
Reports::Subscribe(Listener aListener)
{
  m_listeners.push_back(std::move(aListener));
}

bool
Reports::IsWanted(const core::UpstreamId& aEngine) const
{
  return m_wanted.Read()->contains(aEngine);
}

void
Reports::SetEngines(std::span<const objectstore::HostEntry> aEngines)
{
  const auto before = m_wanted.Read();
  std::map<core::UpstreamId, core::Endpoint> wanted;
  for (const objectstore::HostEntry& engine : aEngines) {
    wanted[core::UpstreamId{ engine.m_name }] = engine.m_endpoint;
  }
  m_wanted.Publish(wanted);
  for (const auto& [id, endpoint] : wanted) {
    if (!before->contains(id)) {
      asio::co_spawn(m_context.Traffic().Loop(kLoopIndex),
                     AskAtIntervals(shared_from_this(), id, endpoint),
                     asio::detached);
    }
  }
  std::erase_if(m_latest, [&wanted](const auto& aEntry) {
    return !wanted.contains(aEntry.first);
  });
}

void
Reports::Accept(const EngineStatus& aStatus)
{
  if (!IsWanted(aStatus.m_engine)) {
    return;
  }
  m_latest[aStatus.m_engine] = aStatus;
  for (const Listener& listener : m_listeners) {
    listener(aStatus);
  }
}

} // namespace heatherdeal::reports
