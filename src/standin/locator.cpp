#include "standin/locator.h"

#include "kernel/json.h"
#include "standin/endpoints.h"

namespace heatherdeal::standin {

namespace {

constexpr core::Duration kCallTime = std::chrono::seconds(1);
constexpr uint32_t kOk = 200;

} // namespace

Locator::Locator(http::Client& aClient,
                 std::vector<core::Endpoint> aEntries,
                 std::string aRole,
                 std::string aFailureDomain)
  : m_client(aClient)
  , m_entries(std::move(aEntries))
  , m_target("/v1/addresses?role=" + aRole +
             "&failure_domain=" + aFailureDomain)
{
}

boost::asio::awaitable<core::Endpoint>
Locator::Find()
{
  if (m_known.empty() || kernel::Now() >= m_validUntil) {
    co_await Ask();
  }
  const std::vector<core::Endpoint>& list =
    m_known.empty() ? m_entries : m_known;
  co_return list[m_next % list.size()];
}

void
Locator::Reject()
{
  m_next += 1;
}

boost::asio::awaitable<void>
Locator::Ask()
{
  // Every entry host is asked in turn, until one answers.
  for (size_t i = 0; i < m_entries.size(); ++i) {
    const core::Endpoint entry = m_entries[(m_next + i) % m_entries.size()];
    http::Request request;
    request.m_target = m_target;
    const absl::StatusOr<http::Response> answer =
      co_await m_client.Call(entry,
                             std::move(request),
                             http::Reuse::Allowed,
                             kernel::Now() + kCallTime);
    if (!answer.ok() || answer->m_head.m_status != kOk) {
      continue;
    }
    const absl::StatusOr<Addresses> addresses = kernel::ParseMessage<Addresses>(
      answer->m_body, "addresses", ParseAddresses);
    if (addresses.ok()) {
      m_known = addresses->m_endpoints;
      m_validUntil = kernel::Now() + addresses->m_lifetime;
      m_next = 0;
      co_return;
    }
  }
}

} // namespace heatherdeal::standin
