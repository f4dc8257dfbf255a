#pragma once

#include <memory>
#include <optional>

#include "absl/status/statusor.h"

#include "http/message.h"
#include "kernel/context.h"
#include "kernel/deadlinetimer.h"
#include "usage/internal/holderannouncement.h"
#include "usage/internal/usagesettings.h"
#include "usage/usagecounter.h"

namespace heatherdeal::usage {

/// Sends what this host counts to the holder. Control thread only.
class CountSender : public std::enable_shared_from_this<CountSender>
{
public:
  CountSender(kernel::Context& aContext,
              const UsageSettings& aSettings,
              std::shared_ptr<UsageCounter> aCounter,
              std::shared_ptr<HolderAnnouncement> aAnnouncement);

  void Start();
  /// Sends more often until the process ends.
  void Drain();

  const CountSending& State() const { return m_state; }

private:
  /// What came back for a message.
  struct SendResult
  {
    std::optional<CountReceipt> m_receipt;
    /// The holder, if the message went to a host that is not the holder.
    std::optional<Holder> m_newerHolder;
    /// True if there was no answer of the holder.
    bool m_isUnreachable = false;
  };

  static SendResult DecodeResult(
    const absl::StatusOr<http::Response>& aResponse);
  void Tick();
  void ScheduleTick();
  void SendIfDue();
  void Send(const core::Endpoint& aHolder, PreparedMessage aMessage);
  void HandleResult(const PreparedMessage& aMessage, const SendResult& aResult);
  /// Returns where the next message goes: to the holder, or to a host that
  /// passes it on while the holder cannot be reached.
  std::optional<core::Endpoint> FindTarget() const;
  /// Sends by way of the next other host for a while.
  void ChooseDetour();
  /// Returns the time between two messages for the present number of hosts.
  int64_t SendIntervalMilliseconds() const;

  kernel::Context& m_context;
  ReportingPolicy m_policy;
  std::shared_ptr<UsageCounter> m_counter;
  std::shared_ptr<HolderAnnouncement> m_announcement;
  CountSending m_state;
  /// Identifies this run; increases with each start.
  uint64_t m_run;
  /// Offset of this host's messages within an interval, so that the hosts do
  /// not send at the same time.
  int64_t m_phaseMilliseconds;
  bool m_isDraining = false;
  /// The host by way of which messages go; empty if they go directly.
  std::string m_detour;
  size_t m_detourCount = 0;
  core::Instant m_detourUntil{};
  kernel::DeadlineTimer m_timer;
};

} // namespace heatherdeal::usage
