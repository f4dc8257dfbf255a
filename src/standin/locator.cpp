#include "standin/locator.h"

#include "kernel/json.h"
#include "standin/endpoints.h"

namespace heatherdeal::standin {

namespace {

constexpr core::Duration kCallTimeout = std::chrono::seconds(1);
constexpr uint32_t kStatusOk = 200;

} // namespace

Locator::Locator(http::Client& aClient,
                 std::vector<core::Endpoint> aEntryHosts,
                 std::string aRole,
                 std::string aFailureDomain)
  : m_client(aClient)
  , m_entryHosts(std::move(aEntryHosts))
  , m_requestTarget("/v1/addresses?role=" + aRole +
                    "&failure_domain=" + aFailureDomain)
{
}

boost::asio::awaitable<core::Endpoint>
Locator::FindEndpoint()
{
  if (m_fetchedEndpoints.empty() || kernel::Now() >= m_expiresAt) {
    co_await FetchEndpoints();
  }
  const std::vector<core::Endpoint>& endpoints =
    m_fetchedEndpoints.empty() ? m_entryHosts : m_fetchedEndpoints;
  co_return endpoints[m_nextIndex % endpoints.size()];
}

void
Locator::UseNextEndpoint()
{
  m_nextIndex += 1;
}

boost::asio::awaitable<void>
Locator::FetchEndpoints()
{
  // Tries each entry host in turn until one responds with valid addresses.
  for (size_t i = 0; i < m_entryHosts.size(); ++i) {
    const core::Endpoint entry =
      m_entryHosts[(m_nextIndex + i) % m_entryHosts.size()];
    http::Request request;
    request.m_target = m_requestTarget;
    const absl::StatusOr<http::Response> response =
      co_await m_client.Call(entry,
                             std::move(request),
                             http::Reuse::Allowed,
                             kernel::Now() + kCallTimeout);
    if (!response.ok() || response->m_head.m_status != kStatusOk) {
      continue;
    }
    const absl::StatusOr<Addresses> addresses = kernel::ParseMessage<Addresses>(
      response->m_body, "addresses", ParseAddresses);
    if (addresses.ok()) {
      m_fetchedEndpoints = addresses->m_endpoints;
      m_expiresAt = kernel::Now() + addresses->m_lifetime;
      m_nextIndex = 0;
      co_return;
    }
  }
}

} // namespace heatherdeal::standin
