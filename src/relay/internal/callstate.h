#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "forwarding/attempts.h"
#include "relay/internal/startrecorder.h"
#include "relay/relay.h"

namespace heatherdeal::relay {

/// Returns the fingerprint of a request that may be refused for crashing
/// upstreams, or nothing if it may not.
inline std::optional<quarantine::Fingerprint>
FingerprintOf(const CallOrigin& aOrigin)
{
  const auto* caller = std::get_if<CallerOrigin>(&aOrigin);
  return caller == nullptr ? std::nullopt
                           : std::optional(caller->m_fingerprint);
}

/// Returns true if the caller has left.
inline bool
IsAborted(const RoutedCall& aCall)
{
  return aCall.m_abort && aCall.m_abort->IsAbortRequested();
}

/// Counts a call that waits for a permit, for the lifetime of this object.
class WaitingCall
{
public:
  explicit WaitingCall(std::shared_ptr<routing::ServiceDemand> aDemand)
    : m_demand(std::move(aDemand))
  {
    m_demand->m_waitingCalls.fetch_add(1);
  }
  ~WaitingCall() { m_demand->m_waitingCalls.fetch_sub(1); }
  WaitingCall(const WaitingCall&) = delete;
  WaitingCall& operator=(const WaitingCall&) = delete;

private:
  std::shared_ptr<routing::ServiceDemand> m_demand;
};

/// The state of one call across its attempts.
struct Relay::CallState
{
  explicit CallState(std::shared_ptr<usage::UsageCounter> aCounter,
                     const RoutedCall& aCall)
    : m_start(std::move(aCounter), aCall)
  {
  }

  StartRecorder m_start;
  bool m_isCountedAsDemand = false;
  std::optional<WaitingCall> m_waiting;
  forwarding::CallProgress m_retryProgress;
  std::vector<size_t> m_triedUpstreams;
  core::Instant m_refusalRetryDeadline{};
  /// The software that has to resume the stream of the call.
  std::optional<core::Software> m_requiredSoftware;
  std::string m_lastUpstream;
  core::Software m_lastSoftware;
  uint32_t m_refusals = 0;
  /// True if an attempt got no answer, so that the next one should go by way of
  /// another host.
  bool m_isUnanswered = false;
  /// Names of the hosts that the call went to.
  std::vector<std::string> m_triedPeers;
};

} // namespace heatherdeal::relay
