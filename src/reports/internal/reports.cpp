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

constexpr core::Duration kRequestTimeout = std::chrono::seconds(1);
constexpr size_t kTrafficLoopIndex = 0;

EngineStatus
ParseStatus(kernel::SettingsReader& aReader)
{
  const kernel::Range versionRange{ 0, INT64_MAX };
  const kernel::Range countRange{ 0, UINT32_MAX };
  EngineStatus status;
  status.m_version.m_number =
    static_cast<uint64_t>(aReader.Integer("version", versionRange));
  status.m_running =
    static_cast<uint32_t>(aReader.Integer("running", countRange));
  status.m_queued =
    static_cast<uint32_t>(aReader.Integer("queued", countRange));
  status.m_leaving = aReader.FlagOr("leaving", false);
  aReader.OptionalValue("slots");
  return status;
}

asio::awaitable<void>
PollOnce(std::shared_ptr<EngineReports> aEngineReports,
         core::UpstreamId aEngine,
         core::Endpoint aPeer)
{
  http::Client& client =
    aEngineReports->Kernel().Get<http::Clients>()->ForLoop(kTrafficLoopIndex);
  http::Request request;
  request.m_target = "/v1/load";
  const absl::StatusOr<http::Response> response =
    co_await client.Call(aPeer,
                         std::move(request),
                         http::Reuse::Allowed,
                         kernel::Now() + kRequestTimeout);
  if (!response.ok()) {
    aEngineReports->Kernel().Metrics().Get("reports.failed").Add();
    co_return;
  }
  absl::StatusOr<EngineStatus> status =
    kernel::ParseMessage<EngineStatus>(response->m_body, "load", ParseStatus);
  if (!status.ok()) {
    aEngineReports->Kernel().Metrics().Get("reports.invalid").Add();
    co_return;
  }
  status->m_engine = aEngine;
  status->m_receivedAt = kernel::Now();
  aEngineReports->Kernel().Control().Post(
    [aEngineReports, status = *std::move(status)] {
      aEngineReports->PublishStatus(status);
    });
}

asio::awaitable<void>
PollUntilRemoved(std::shared_ptr<EngineReports> aEngineReports,
                 core::UpstreamId aEngine,
                 core::Endpoint aPeer)
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (aEngineReports->IsPolled(aEngine)) {
    co_await PollOnce(aEngineReports, aEngine, aPeer);
    timer.expires_after(aEngineReports->PollInterval());
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

} // namespace

EngineReports::EngineReports(kernel::Context& aContext,
                             core::Duration aPollInterval)
  : m_context(aContext)
  , m_pollInterval(aPollInterval)
{
}

void
EngineReports::Subscribe(Listener aListener)
{
  m_listeners.push_back(std::move(aListener));
}

bool
EngineReports::IsPolled(const core::UpstreamId& aEngine) const
{
  return m_polledEngines.Read()->contains(aEngine);
}

void
EngineReports::SetEngines(std::span<const objectstore::HostEntry> aEngines)
{
  const auto previousEngines = m_polledEngines.Read();
  std::map<core::UpstreamId, core::Endpoint> polledEngines;
  for (const objectstore::HostEntry& engine : aEngines) {
    polledEngines[core::UpstreamId{ engine.m_name }] = engine.m_endpoint;
  }
  m_polledEngines.Publish(polledEngines);
  for (const auto& [id, endpoint] : polledEngines) {
    if (!previousEngines->contains(id)) {
      asio::co_spawn(m_context.Traffic().Loop(kTrafficLoopIndex),
                     PollUntilRemoved(shared_from_this(), id, endpoint),
                     asio::detached);
    }
  }
  std::erase_if(m_latestStatuses, [&polledEngines](const auto& aEntry) {
    return !polledEngines.contains(aEntry.first);
  });
}

void
EngineReports::PublishStatus(const EngineStatus& aStatus)
{
  if (!IsPolled(aStatus.m_engine)) {
    return;
  }
  m_latestStatuses[aStatus.m_engine] = aStatus;
  for (const Listener& listener : m_listeners) {
    listener(aStatus);
  }
}

} // namespace heatherdeal::reports
