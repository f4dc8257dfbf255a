#pragma once

#include <vector>

#include "forwarding/internal/forwarder.h"
#include "forwarding/internal/generation.h"

namespace heatherdeal::forwarding {

/// One caller's request on its way through the upstreams.
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

  boost::asio::awaitable<void> Run();

private:
  boost::asio::awaitable<absl::Status> Claim();
  boost::asio::awaitable<absl::Status> Attempt();
  boost::asio::awaitable<absl::Status> Relay(http::AnswerStream& aAnswer);
  boost::asio::awaitable<absl::Status> RelayWhole(http::AnswerStream& aAnswer);
  boost::asio::awaitable<absl::Status> RelayStream(http::AnswerStream& aAnswer);

  boost::asio::awaitable<void> TellFailure(core::Failure aFailure);
  boost::asio::awaitable<absl::Status> RelayGeneration(
    http::AnswerStream& aAnswer);
  /// True for a stream of tokens that another engine can go on with.
  bool IsResumable(const http::AnswerHead& aHead) const;
  http::Request ToUpstream() const;
  NextStep Decide(const core::Failure& aFailure);
  void NoteFailure(routing::UpstreamReservation& aTicket,
                   const core::Failure& aFailure);
  void NoteSuccess(routing::UpstreamReservation& aTicket);

  Forwarder& m_forwarder;
  http::Exchange& m_exchange;
  std::shared_ptr<const routing::Pool> m_pool;
  std::shared_ptr<ServiceMeter> m_meter;
  CallFacts m_facts;
  CallProgress m_progress;
  std::vector<size_t> m_tried;
  Generation m_generation;
  uint64_t m_fingerprint = 0;
  /// Name of the record of a call that may not be repeated; "": none.
  std::string m_recordName;
  /// The caller has gone or does not read; no upstream is to blame.
  bool m_callerGone = false;
};

} // namespace heatherdeal::forwarding
