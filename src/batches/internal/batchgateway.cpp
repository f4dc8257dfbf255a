#include "batches/batchgateway.h"

#include <algorithm>

#include "batches/internal/objectnames.h"
#include "batches/internal/ownerhosts.h"
#include "batches/owners.h"
#include "core/failure.h"
#include "http/exchange.h"
#include "kernel/eventlog.h"

namespace heatherdeal::batches {

namespace {

namespace asio = boost::asio;

constexpr uint32_t kMisdirected = 421;
constexpr uint32_t kUnavailable = 503;
constexpr std::string_view kOwnerHeader = "X-Heatherdeal-Owner";
constexpr std::string_view kCustomerHeader = "X-Heatherdeal-Customer";
constexpr size_t kMaxCachedOwners = 4096;
constexpr size_t kMaxAttempts = 5;
// After this many unresponsive hosts, this host is probably cut off from all of
// them. The call fails early, so that the caller can try another entry host.
constexpr size_t kMaxUnresponsiveHosts = 2;
// A healthy host responds within this time, including the wait of a long poll.
constexpr core::Duration kAttemptTimeout = std::chrono::milliseconds(2500);

/// Moves the host with this name to the front, if it is a candidate.
void
MoveToFront(std::vector<objectstore::HostEntry>& aCandidates,
            std::string_view aName)
{
  const auto found =
    std::ranges::find(aCandidates, aName, &objectstore::HostEntry::m_name);
  if (found != aCandidates.end()) {
    std::rotate(aCandidates.begin(), found, found + 1);
  }
}

} // namespace

http::Response
MakeMisdirectedResponse(std::string_view aOwner)
{
  http::Response response;
  response.m_head.m_status = kMisdirected;
  response.m_head.m_headers.push_back(
    { std::string(kOwnerHeader), std::string(aOwner) });
  return response;
}

void
SetCustomer(http::Request& aRequest, const core::CustomerId& aCustomer)
{
  std::erase_if(aRequest.m_headers, [](const http::Header& aHeader) {
    return http::IsSameHeaderName(aHeader.m_name, kCustomerHeader);
  });
  if (!aCustomer.m_value.empty()) {
    aRequest.m_headers.push_back(
      { std::string(kCustomerHeader), aCustomer.m_value });
  }
}

core::CustomerId
CustomerOf(const http::Request& aRequest)
{
  return { std::string(http::FindHeader(aRequest.m_headers, kCustomerHeader)) };
}

BatchGateway::BatchGateway(kernel::Context& aContext)
  : m_hosts(aContext.Get<objectstore::Hosts>())
  , m_gossip(aContext.Get<gossip::Gossip>())
  , m_clients(aContext.Get<http::Clients>())
{
}

std::vector<objectstore::HostEntry>
BatchGateway::FindCandidates(const BatchId& aBatch) const
{
  const auto hosts = m_hosts->Read();
  const OwnerHosts owners = FindOwnerHosts(*hosts, *m_gossip);
  const size_t activeOwners = CountActiveOwners(CountUpstreams(*hosts));
  std::vector<objectstore::HostEntry> candidates;
  for (const std::vector<std::string>* names :
       { &owners.m_available, &owners.m_leaving }) {
    for (const std::string& name :
         RankOwners(*names, aBatch.m_value, activeOwners)) {
      candidates.push_back(
        *std::ranges::find_if(*hosts, [&](const objectstore::HostEntry& aHost) {
          return aHost.m_name == name && aHost.m_service == kHostService;
        }));
    }
  }
  const std::scoped_lock lock(m_mutex);
  const auto owner = m_cachedOwners.find(aBatch.m_value);
  if (owner != m_cachedOwners.end()) {
    MoveToFront(candidates, owner->second);
  }
  const core::Instant now = kernel::Now();
  std::erase_if(candidates, [&](const objectstore::HostEntry& aHost) {
    return IsAvoided(m_unresponsiveHosts, aHost.m_name, now);
  });
  return candidates;
}

bool
BatchGateway::RecordOutcome(std::string_view aHost,
                            core::Instant aSentAt,
                            const absl::Status& aStatus)
{
  const core::Instant now = kernel::Now();
  const std::scoped_lock lock(m_mutex);
  if (aStatus.ok()) {
    RecordResponse(m_unresponsiveHosts, aHost);
    return false;
  }
  RecordFailure(m_unresponsiveHosts, aHost, now - aSentAt, now);
  return IsUnresponsive(now - aSentAt);
}

void
BatchGateway::CacheOwner(const BatchId& aBatch, std::string_view aOwner)
{
  const std::scoped_lock lock(m_mutex);
  if (m_cachedOwners.size() >= kMaxCachedOwners) {
    m_cachedOwners.clear();
  }
  m_cachedOwners[aBatch.m_value] = aOwner;
}

asio::awaitable<absl::StatusOr<http::Response>>
BatchGateway::Forward(size_t aLoopIndex,
                      BatchId aBatch,
                      http::Request aRequest,
                      core::Instant aDeadline)
{
  std::vector<objectstore::HostEntry> candidates = FindCandidates(aBatch);
  absl::Status failure =
    core::ToStatus(core::NoUpstream{ std::string(kHostService) });
  std::optional<http::Response> unavailable;
  size_t unresponsive = 0;
  for (size_t attempts = 0; attempts < kMaxAttempts && !candidates.empty();
       ++attempts) {
    const objectstore::HostEntry host = candidates.front();
    candidates.erase(candidates.begin());
    const core::Instant sentAt = kernel::Now();
    const core::Instant limit = std::min(aDeadline, sentAt + kAttemptTimeout);
    absl::StatusOr<http::Response> response =
      co_await m_clients->ForLoop(aLoopIndex)
        .Call(host.m_endpoint, aRequest, http::Reuse::Allowed, limit);
    unresponsive +=
      RecordOutcome(host.m_name, sentAt, response.status()) ? 1 : 0;
    if (!response.ok()) {
      kernel::LogEvent(
        kernel::LogLevel::Info,
        "batches",
        "owner-unreachable",
        { { "batch", aBatch.m_value },
          { "host", host.m_name },
          { "method", aRequest.m_method },
          { "reason", http::DescribeStatus(response.status()) } });
      const core::Executed executed =
        core::ExecutedOf(http::FailureOf(response.status()));
      if (executed != core::Executed::No) {
        failure = response.status();
      }
      if (unresponsive >= kMaxUnresponsiveHosts) {
        break;
      }
      continue;
    }
    const uint32_t status = response->m_head.m_status;
    if (status == kMisdirected) {
      const std::string owner(
        http::FindHeader(response->m_head.m_headers, kOwnerHeader));
      // A host that does not know the owner names none.
      if (!owner.empty()) {
        CacheOwner(aBatch, owner);
        MoveToFront(candidates, owner);
      }
      continue;
    }
    if (status == kUnavailable && response->m_head.m_isOfSecondTry) {
      // The host may have accepted the call the first time.
      failure = core::ToStatus(
        core::ConnectionFailed{ host.m_name, core::Executed::Unknown });
      continue;
    }
    if (status == kUnavailable) {
      unavailable = *std::move(response);
      continue;
    }
    co_return response;
  }
  const core::Executed executed = core::ExecutedOf(http::FailureOf(failure));
  if (unavailable && executed == core::Executed::No) {
    co_return *std::move(unavailable);
  }
  co_return failure;
}

} // namespace heatherdeal::batches
