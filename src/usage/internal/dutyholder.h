#pragma once

#include <memory>

#include "boost/json/value.hpp"

#include "http/exchange.h"
#include "kernel/context.h"
#include "kernel/deadlinetimer.h"
#include "lease/actpermission.h"
#include "lease/leaseclient.h"
#include "usage/internal/holderannouncement.h"
#include "usage/internal/usagesettings.h"
#include "usage/usagecodec.h"

namespace heatherdeal::usage {

/// Competes for the duty to report, and reports while this host holds it.
/// Control thread only, except where a function allows another one.
class DutyHolder : public std::enable_shared_from_this<DutyHolder>
{
public:
  DutyHolder(kernel::Context& aContext,
             const UsageSettings& aSettings,
             std::shared_ptr<HolderAnnouncement> aAnnouncement);

  void Start();
  /// Releases the lease and stops competing for it.
  void Resign();
  boost::json::value Dump() const;

  /// Receives the counts of another host. Runs on a traffic thread.
  boost::asio::awaitable<void> ServeCounts(http::Exchange& aExchange);

private:
  /// Starts to compete if this host is a candidate; stops if it is none any
  /// more and does not hold the lease.
  void CompeteIfCandidate();
  void Compete();
  bool IsCandidate() const;
  void OnGranted(const lease::LeaseGranted& aGrant);
  void OnLost();
  void HandleEvent(const ReportingEvent& aEvent);
  void Execute(const ListContents& aEffect);
  void Execute(const CreateContent& aEffect);
  void Execute(const SendReport& aEffect);
  void Execute(const RemoveContent& aEffect);
  void Execute(const GiveUpWindow& aEffect);
  void Execute(const ResignDuty& aEffect);
  /// Finds out which content the store holds after a write failed.
  void ReadContent(WindowId aWindow);
  void HandleResponse(const SendReport& aReport, const ReportResponse& aAnswer);
  std::vector<std::string> ExpectedHosts() const;
  /// Returns the holder, if the message is meant for it and not for this host.
  std::optional<core::Endpoint> FindHolderOf(
    const CountMessage& aMessage) const;
  /// Passes counts on to the holder and returns its response.
  boost::asio::awaitable<http::Response> Forward(http::Exchange& aExchange,
                                                 core::Endpoint aHolder);
  /// Applies the message of another host and returns the response to it.
  http::Response AcceptCounts(const CountMessage& aMessage);

  kernel::Context& m_context;
  UsageSettings m_settings;
  std::shared_ptr<HolderAnnouncement> m_announcement;
  ReportingState m_state;
  std::shared_ptr<lease::LeaseClient> m_lease;
  std::shared_ptr<lease::ActPermission> m_permission;
  core::Instant m_startedAt{};
  /// This host does not compete before this time.
  core::Instant m_competeFrom{};
  bool m_isResigned = false;
  kernel::DeadlineTimer m_timer;
  kernel::DeadlineTimer m_competeTimer;
};

} // namespace heatherdeal::usage
