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
       std::shared_ptr<ServiceMeter> aMeter);
  ~Call();
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  /// Forwards the request and sends the response or failure to the caller.
  boost::asio::awaitable<void> Run();

private:
  /// Claims the submission record of the call, if the service requires one.
  boost::asio::awaitable<absl::Status> Claim();
  /// Sends the request to one upstream and relays its response.
  boost::asio::awaitable<absl::Status> Attempt();
  boost::asio::awaitable<absl::Status> Relay(http::AnswerStream& aAnswer);
  boost::asio::awaitable<absl::Status> RelayWhole(http::AnswerStream& aAnswer);
  boost::asio::awaitable<absl::Status> RelayStream(http::AnswerStream& aAnswer);

  boost::asio::awaitable<void> TellFailure(core::Failure aFailure);
  boost::asio::awaitable<absl::Status> RelayGeneration(
    http::AnswerStream& aAnswer);
  /// Returns true if the response is a token stream that another engine can
  /// resume.
  bool IsResumable(const http::AnswerHead& aHead) const;
  http::Request ToUpstream() const;
  NextStep Decide(const core::Failure& aFailure);
  void NoteFailure(routing::Ticket& aTicket, const core::Failure& aFailure);
  void NoteSuccess(routing::Ticket& aTicket);

  Forwarder& m_forwarder;
  http::Exchange& m_exchange;
  std::shared_ptr<const routing::Pool> m_pool;
  std::shared_ptr<ServiceMeter> m_meter;
  CallFacts m_facts;
  CallProgress m_progress;
  std::vector<size_t> m_tried;
  Generation m_generation;
  uint64_t m_fingerprint = 0;
  /// Name of the submission record of a non-idempotent call; empty if the call
  /// has no record.
  std::string m_recordName;
  /// True if sending to the caller failed. The failure is then not attributed
  /// to the upstream.
  bool m_callerGone = false;
};

} // namespace heatherdeal::forwarding
