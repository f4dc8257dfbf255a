#pragma once

#include <vector>

#include "forwarding/internal/forwarder.h"
#include "forwarding/internal/tokenstreamprogress.h"

namespace heatherdeal::forwarding {

/// Forwards one request of a caller to upstreams, with retries.
class Call
{
public:
  Call(Forwarder& aForwarder,
       http::Exchange& aExchange,
       std::shared_ptr<const routing::Pool> aPool,
       std::shared_ptr<ServiceState> aServiceState);
  ~Call();
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  /// Forwards the request and sends the response or failure to the caller.
  boost::asio::awaitable<void> Forward();

private:
  /// Claims the submission record of the call, if the service requires one.
  boost::asio::awaitable<absl::Status> ClaimRequestId();
  /// Sends the request to one upstream and relays its response.
  boost::asio::awaitable<absl::Status> TryUpstream();
  /// Relays the response of an upstream to the caller: as a resumable token
  /// stream, buffered if it is small and its size is known, or streaming.
  boost::asio::awaitable<absl::Status> RelayResponse(
    http::ResponseStream& aUpstreamResponse,
    const routing::Upstream& aUpstream);
  /// Reads the whole response before it sends the first byte.
  boost::asio::awaitable<absl::Status> RelayBuffered(
    http::ResponseStream& aUpstreamResponse);
  /// Sends each chunk of the response as it arrives. A failure can no longer be
  /// retried.
  boost::asio::awaitable<absl::Status> RelayStreaming(
    http::ResponseStream& aUpstreamResponse);

  /// Sends the failure to the caller and releases the submission record if the
  /// request did not run.
  boost::asio::awaitable<void> ReplyFailure(core::Failure aFailure);
  /// Sends complete lines of a token stream as they arrive. After a failure
  /// another engine can resume the stream.
  boost::asio::awaitable<absl::Status> RelayTokenStream(
    http::ResponseStream& aUpstreamResponse,
    const routing::Upstream& aUpstream);
  /// Returns true if the response is a token stream that another engine can
  /// resume.
  bool IsResumable(const http::ResponseHead& aHead) const;
  http::Request MakeUpstreamRequest() const;
  NextStep DecideNextStep(const core::Failure& aFailure);
  /// Reports a failed attempt to routing and, if the upstream may have crashed,
  /// to the quarantine.
  void RecordFailure(routing::UpstreamReservation& aReservation,
                     const core::Failure& aFailure);
  void RecordSuccess(routing::UpstreamReservation& aReservation);

  Forwarder& m_forwarder;
  http::Exchange& m_exchange;
  std::shared_ptr<const routing::Pool> m_pool;
  std::shared_ptr<ServiceState> m_serviceState;
  RetryConstraints m_retryConstraints;
  CallProgress m_progress;
  /// Indices in the pool of the upstreams tried so far.
  std::vector<size_t> m_triedUpstreams;
  TokenStreamProgress m_tokenStream;
  /// Hash of target and body; identifies the request in the quarantine.
  quarantine::Fingerprint m_fingerprint;
  /// Name of the submission record of a non-idempotent call; empty if the call
  /// has no record.
  std::string m_submissionName;
  /// True if sending to the caller failed. The failure is then not attributed
  /// to the upstream.
  bool m_isCallerDisconnected = false;
};

} // namespace heatherdeal::forwarding
