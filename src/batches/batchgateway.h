#pragma once

#include <map>
#include <mutex>
#include <span>

#include "absl/status/statusor.h"
#include "boost/asio/awaitable.hpp"

#include "batches/batch.h"
#include "batches/reach.h"
#include "gossip/gossip.h"
#include "http/client.h"
#include "kernel/context.h"
#include "objectstore/hosts.h"

namespace heatherdeal::batches {

/// The answer of a host that does not own the batch.
http::Answer
ElsewhereAnswer(std::string_view aOwner);

/// Hands calls about batches to the hosts that own them. Traffic threads.
class BatchGateway
{
public:
  explicit BatchGateway(kernel::Context& aContext);

  /// The owner's answer. A failure with Executed::No: no host has taken the
  /// call; Executed::Unknown: one may have.
  boost::asio::awaitable<absl::StatusOr<http::Answer>> Forward(
    size_t aLoopIndex,
    BatchId aBatch,
    http::Request aRequest,
    core::Instant aDeadline);

private:
  std::vector<objectstore::HostEntry> CandidatesFor(
    const BatchId& aBatch) const;
  /// Notes the outcome of a call; true if the host was silent.
  bool Note(std::string_view aHost,
            core::Instant aSentAt,
            const absl::Status& aStatus);
  void Remember(const BatchId& aBatch, std::string_view aOwner);

  std::shared_ptr<objectstore::Hosts> m_hosts;
  std::shared_ptr<gossip::Gossip> m_gossip;
  std::shared_ptr<http::Clients> m_clients;
  mutable std::mutex m_mutex;
  /// Owners that differ from the first choice, as other hosts told.
  std::map<std::string, std::string, std::less<>> m_owners;
  Reach m_reach;
};

} // namespace heatherdeal::batches
