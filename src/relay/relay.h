#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

#include "configuration/document.h"
#include "forwarding/attempts.h"
#include "http/callabort.h"
#include "http/client.h"
#include "http/exchange.h"
#include "kernel/context.h"
#include "limits/upstreamlimits.h"
#include "quarantine/quarantine.h"
#include "relay/reachmonitor.h"
#include "relay/upstreamcodec.h"
#include "resumption/streamorigins.h"
#include "routing/pool.h"
#include "usage/usagecounter.h"

namespace heatherdeal::relay {

/// A request that a caller waits for. If it crashes upstreams, it is refused.
struct CallerOrigin
{
  quarantine::Fingerprint m_fingerprint;
};

/// A request of a batch. It is owed whatever crashed while it ran.
struct BatchOrigin
{};

using CallOrigin = std::variant<CallerOrigin, BatchOrigin>;

/// The response begins with the first event.
struct FromBeginning
{};

/// The response goes on behind an event that the caller got before. Only the
/// software that began the stream can do that.
struct ResumeStream
{
  resumption::StreamId m_stream;
};

using StreamPosition = std::variant<FromBeginning, ResumeStream>;

/// A request that is sent to an upstream of its route.
struct RoutedCall
{
  CallOrigin m_origin;
  StreamPosition m_position;
  configuration::Route m_route;
  /// The customer whose name the upstream gets; empty if it gets none.
  core::CustomerId m_customer;
  /// Does not contain hop-by-hop headers.
  http::Request m_request;
  /// Id of the request, which is sent to the upstream and logged.
  std::string m_id;
  core::Instant m_deadline{};
  /// Null if the call cannot be aborted before its deadline.
  std::shared_ptr<http::CallAbort> m_abort;
  /// False for a call that has come by way of another host already.
  bool m_mayDetour = true;
};

/// The complete response of an upstream, with its proof of origin.
struct RoutedResponse
{
  http::Response m_response;
  std::string m_proof;
  /// The upstream that has executed the request.
  core::UpstreamId m_upstream;
};

/// Prefix of the paths on which hosts serve the calls of other hosts.
inline constexpr std::string_view kPeerPath = "/relay/";

class PeerRelay;
class StartRecorder;

/// Records what an answer says of its upstream: its limit, and whether it
/// leaves. The answer of another instance says nothing, and a refusal without a
/// limit does not lift one.
void
ReportSignals(limits::UpstreamLimits& aLimits,
              const routing::Upstream& aUpstream,
              const DecodedHead& aHead);

/// Sends requests to the upstreams of their route, and retries them where this
/// is safe. Goes by way of other hosts while this one does not reach upstreams.
class Relay : public std::enable_shared_from_this<Relay>
{
public:
  explicit Relay(kernel::Context& aContext);

  /// Starts the exchange with other hosts. Control thread only.
  void Start();

  /// Serves a call of another host that does not reach upstreams.
  boost::asio::awaitable<void> ServePeer(http::Exchange& aExchange);

  /// Returns the response of an upstream, whatever its status. If all attempts
  /// failed, returns the failure after which the request is most likely to have
  /// been executed. Fails with Draining, without an attempt, if the process may
  /// soon end before the deadline. Must be called on the thread of the loop.
  boost::asio::awaitable<absl::StatusOr<RoutedResponse>> SendWithRetries(
    size_t aLoopIndex,
    RoutedCall aCall);

  const routing::Router& UpstreamRouter() const { return *m_router; }

private:
  struct CallState;

  /// Returns the host by way of which the call should go now, if any.
  std::optional<objectstore::HostEntry> ChoosePeer(const RoutedCall& aCall,
                                                   const CallState& aState);
  /// Makes one attempt, directly or by way of another host.
  boost::asio::awaitable<absl::StatusOr<RoutedResponse>>
  MakeAttempt(size_t aLoopIndex, const RoutedCall& aCall, CallState& aState);
  boost::asio::awaitable<absl::StatusOr<RoutedResponse>> SendByPeer(
    size_t aLoopIndex,
    objectstore::HostEntry aPeer,
    const RoutedCall& aCall,
    CallState& aState);
  boost::asio::awaitable<absl::StatusOr<RoutedResponse>>
  SendAttempt(size_t aLoopIndex, const RoutedCall& aCall, CallState& aState);
  boost::asio::awaitable<absl::StatusOr<RoutedResponse>> ReadResponse(
    http::ResponseStream& aStream,
    const RoutedCall& aCall,
    routing::UpstreamReservation& aReservation,
    core::Instant aDeadline,
    StartRecorder& aStart);
  /// Returns the service that the next attempt goes to: the one that began the
  /// stream, or one by the weights of the route.
  core::ServiceId ChooseService(const RoutedCall& aCall,
                                const CallState& aState);
  /// Returns the upstreams of the service that the call may be sent to; null if
  /// there is no such service. Fails with SoftwareUnavailable if none of them
  /// can resume the stream of the call.
  absl::StatusOr<std::shared_ptr<const routing::Pool>> FindPool(
    const RoutedCall& aCall,
    const CallState& aState,
    const core::ServiceId& aService) const;
  /// Returns the failure of a call for which no upstream is usable now.
  static core::Failure MakeUnavailableFailure(CallState& aState,
                                              const routing::Pool* aPool,
                                              const core::ServiceId& aService);
  /// Records what the outcome of an attempt says about the request and about
  /// the upstream.
  void RecordOutcome(const RoutedCall& aCall,
                     routing::UpstreamReservation& aReservation,
                     core::Instant aSentAt,
                     const absl::Status& aStatus);
  forwarding::NextStep DecideNextStep(const RoutedCall& aCall,
                                      CallState& aState,
                                      const core::Failure& aFailure);

  kernel::Context& m_context;
  std::shared_ptr<routing::Router> m_router;
  std::shared_ptr<http::Clients> m_clients;
  std::shared_ptr<quarantine::Quarantine> m_quarantine;
  std::shared_ptr<limits::UpstreamLimits> m_limits;
  std::shared_ptr<resumption::StreamOrigins> m_streamOrigins;
  /// Null on hosts that do not count.
  std::shared_ptr<usage::UsageCounter> m_usage;
  std::shared_ptr<ReachMonitor> m_reach;
  std::shared_ptr<PeerRelay> m_peers;
  std::atomic<uint64_t> m_nextSequence{ 0 };
  std::mutex m_budgetMutex;
  forwarding::RetryBudgetState m_budget;
};

} // namespace heatherdeal::relay
