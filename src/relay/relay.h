#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "configuration/document.h"
#include "forwarding/attempts.h"
#include "http/callabort.h"
#include "http/client.h"
#include "kernel/context.h"
#include "relay/upstreamcodec.h"
#include "routing/pool.h"

namespace heatherdeal::relay {

/// One request of a route.
struct RoutedCall
{
  configuration::Route m_route;
  /// Headers that concern one connection only are not among its headers.
  http::Request m_request;
  std::string m_id;
  core::Instant m_deadline{};
  /// Set if the call may be given up early.
  std::shared_ptr<http::CallAbort> m_abort;
};

/// The upstream's whole answer, and what it proved of it.
struct RoutedAnswer
{
  http::Response m_answer;
  std::string m_proof;
};

/// Carries requests of routes to upstreams, again where that is allowed.
class Relay : public std::enable_shared_from_this<Relay>
{
public:
  explicit Relay(kernel::Context& aContext);

  /// The answer of an upstream, whatever its status, or the failure that
  /// leaves most doubt whether the request ran. Only on the loop's thread.
  boost::asio::awaitable<absl::StatusOr<RoutedAnswer>> Run(size_t aLoopIndex,
                                                           RoutedCall aCall);

  const routing::Router& Upstreams() const { return *m_router; }

private:
  struct Progress;

  boost::asio::awaitable<absl::StatusOr<RoutedAnswer>>
  Attempt(size_t aLoopIndex, const RoutedCall& aCall, Progress& aProgress);
  boost::asio::awaitable<absl::StatusOr<RoutedAnswer>> ReadAnswer(
    http::ResponseStream& aStream,
    const RoutedCall& aCall,
    routing::Ticket& aTicket,
    core::Instant aDeadline);
  forwarding::NextStep Decide(const RoutedCall& aCall,
                              Progress& aProgress,
                              const core::Failure& aFailure);

  std::shared_ptr<routing::Router> m_router;
  std::shared_ptr<http::Clients> m_clients;
  std::atomic<uint64_t> m_tickets{ 0 };
  std::mutex m_mutex;
  forwarding::RetryBudgetState m_budget;
};

} // namespace heatherdeal::relay
