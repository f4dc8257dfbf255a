#pragma once

#include <map>
#include <mutex>
#include <span>

#include "absl/status/statusor.h"
#include "boost/asio/awaitable.hpp"

#include "batches/batch.h"
#include "batches/unresponsivehosts.h"
#include "gossip/gossip.h"
#include "http/client.h"
#include "kernel/context.h"
#include "objectstore/hosts.h"

namespace heatherdeal::batches {

/// Makes the response of a host that does not own the batch: status 421 with
/// the owner in a header.
http::Response
MakeMisdirectedResponse(std::string_view aOwner);

/// Makes a call to the owner of a batch belong to the customer; to none if it
/// is empty. Callers cannot do so themselves.
void
SetCustomer(http::Request& aRequest, const core::CustomerId& aCustomer);

/// Returns the customer that SetCustomer has set; empty if there is none.
core::CustomerId
CustomerOf(const http::Request& aRequest);

/// Forwards calls about batches to the hosts that own them. Thread-safe; used
/// on the traffic threads.
class BatchGateway
{
public:
  explicit BatchGateway(kernel::Context& aContext);

  /// Returns the response of the owner. A failure with Executed::No means that
  /// no host has executed the call, Executed::Unknown that one may have.
  boost::asio::awaitable<absl::StatusOr<http::Response>> Forward(
    size_t aLoopIndex,
    BatchId aBatch,
    http::Request aRequest,
    core::Instant aDeadline);

private:
  /// Returns the hosts to try, most likely owner first.
  std::vector<objectstore::HostEntry> FindCandidates(
    const BatchId& aBatch) const;
  /// Records the outcome of a call. Returns true if the host did not respond in
  /// time.
  bool RecordOutcome(std::string_view aHost,
                     core::Instant aSentAt,
                     const absl::Status& aStatus);
  /// Caches the owner that another host has named.
  void CacheOwner(const BatchId& aBatch, std::string_view aOwner);

  std::shared_ptr<objectstore::Hosts> m_hosts;
  std::shared_ptr<gossip::Gossip> m_gossip;
  std::shared_ptr<http::Clients> m_clients;
  mutable std::mutex m_mutex;
  /// Owners that other hosts have named, by batch.
  std::map<std::string, std::string, std::less<>> m_cachedOwners;
  UnresponsiveHosts m_unresponsiveHosts;
};

} // namespace heatherdeal::batches
