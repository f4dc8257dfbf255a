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
  boost::asio::awaitable<absl::Status> RelayResponse(
    http::AnswerStream& aAnswer);
  boost::asio::awaitable<absl::Status> RelayBuffered(
    http::AnswerStream& aAnswer);
  boost::asio::awaitable<absl::Status> RelayStreaming(
    http::AnswerStream& aAnswer);

  boost::asio::awaitable<void> ReplyFailure(core::Failure aFailure);
  boost::asio::awaitable<absl::Status> RelayTokenStream(
    http::AnswerStream& aAnswer);
  /// Returns true if the response is a token stream that another engine can
  /// resume.
  bool IsResumable(const http::AnswerHead& aHead) const;
  http::Request MakeUpstreamRequest() const;
  NextStep DecideNextStep(const core::Failure& aFailure);
  void RecordFailure(routing::Ticket& aTicket, const core::Failure& aFailure);
  void RecordSuccess(routing::Ticket& aTicket);

  Forwarder& m_forwarder;
  http::Exchange& m_exchange;
  std::shared_ptr<const routing::Pool> m_pool;
  std::shared_ptr<ServiceState> m_serviceState;
  RetryConstraints m_retryConstraints;
  CallProgress m_progress;
  std::vector<size_t> m_triedUpstreams;
  TokenStreamProgress m_tokenStream;
  uint64_t m_fingerprint = 0;
  /// Name of the submission record of a non-idempotent call; empty if the call
  /// has no record.
  std::string m_submissionName;
  /// True if sending to the caller failed. The failure is then not attributed
  /// to the upstream.
  bool m_callerGone = false;
};

} // namespace heatherdeal::forwarding
