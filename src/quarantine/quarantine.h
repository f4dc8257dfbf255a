#pragma once

#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>

#include "boost/json/value.hpp"

#include "kernel/context.h"
#include "quarantine/suspects.h"

namespace heatherdeal::quarantine {

class RefusalStore;

/// Settings of the quarantine plug-in.
struct QuarantineSettings
{
  QuarantinePolicy m_policy;
  /// True if this host keeps refused requests in the object store.
  bool m_persists = false;
};

/// Keeps requests that crash upstreams from being sent again. The hosts share
/// what they observe by gossip, so that a request is refused on all of them.
/// Functions may be called on any thread unless stated otherwise.
class Quarantine : public std::enable_shared_from_this<Quarantine>
{
public:
  explicit Quarantine(kernel::Context& aContext,
                      const QuarantineSettings& aSettings = {});

  /// Starts the exchange with other hosts, and reads what the object store
  /// holds. Control thread only.
  void Start();

  /// Returns when the refusal of the request ends, or nothing if it may be
  /// sent.
  std::optional<core::Instant> FindRefusalEnd(Fingerprint aFingerprint) const;
  /// Records that an upstream presumably crashed while it had the request.
  void ReportCrash(Fingerprint aFingerprint, core::UpstreamRun aUpstream);
  /// Records that an upstream served the request, whatever the status.
  void ReportServed(Fingerprint aFingerprint);
  /// Records that an upstream answered a request that was sent at aSentAt.
  void ReportAnswer(core::UpstreamRun aUpstream, core::Instant aSentAt);

  /// Returns the requests that are refused or suspect.
  boost::json::value Dump() const;

private:
  /// Returns the reports that are due, encoded in at most aMaxBytes.
  std::string ComposeReports(size_t aMaxBytes);
  void ReceiveReports(std::string_view aEncoded);
  void MergeReports(std::span<const SuspectReport> aReports);
  /// Logs a refusal and, if the host has something to tell, has it told at
  /// once.
  void HandleLearned(Learned aLearned, Fingerprint aFingerprint);
  void SpreadSoon();

  kernel::Context& m_context;
  bool m_persists;
  /// Null if this host does not persist refusals.
  std::shared_ptr<RefusalStore> m_refusalStore;
  /// Guards m_state.
  mutable std::mutex m_mutex;
  QuarantineState m_state;
};

} // namespace heatherdeal::quarantine
