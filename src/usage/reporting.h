#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/instant.h"
#include "usage/collection.h"

namespace heatherdeal::usage {

/// The time of a decision. Windows are of Unix time, deadlines of the
/// monotonic clock.
struct Moment
{
  core::Instant m_now{};
  int64_t m_unixMilliseconds = 0;
};

/// When reports are made. Times in milliseconds count from a window's end.
struct ReportingPolicy
{
  int64_t m_windowMilliseconds = 5000;
  /// A report is due within this time.
  int64_t m_reportWithinMilliseconds = 10'000;
  /// The content is decided by then even if hosts have not sent their counts.
  int64_t m_decideWithinMilliseconds = 7'000;
  /// No content is decided later than this.
  int64_t m_newestContentMilliseconds = 60'000;
  /// No content is sent later than this.
  int64_t m_lastSendMilliseconds = 90'000;
  /// The stored content is removed after this time.
  int64_t m_removeAfterMilliseconds = 180'000;
  /// How long a new holder collects before it decides without some hosts.
  core::Duration m_collectTime = std::chrono::milliseconds(2500);
  core::Duration m_lease = std::chrono::seconds(3);
  /// True if the service rejects outdated fencing tokens itself.
  bool m_serviceChecksFences = true;
};

/// The content of the window is not known.
struct Collecting
{};

/// The content is being written to the store. It must not be sent yet, since
/// another content may have been written before.
struct WritingContent
{
  CustomerCounts m_counts;
  core::Instant m_writeAt{};
  bool m_isInFlight = false;
};

/// The store holds this content.
struct SendingContent
{
  CustomerCounts m_counts;
  core::Instant m_sendAt{};
  bool m_isInFlight = false;
};

/// The service has accepted the report.
struct ReportAccepted
{};

/// The window is not reported by this holder any more.
struct GivenUp
{};

using WindowPhase = std::
  variant<Collecting, WritingContent, SendingContent, ReportAccepted, GivenUp>;

struct ReportedWindow
{
  WindowPhase m_phase = Collecting{};
  /// True if the store may hold a content, which has to be removed later.
  bool m_mayBeStored = false;
};

/// The holder's state under one epoch of the lease.
struct DutyTerm
{
  uint64_t m_epoch = 0;
  core::Instant m_grantedAt{};
  /// Nothing may be sent before.
  core::Instant m_sendFrom{};
  /// True once the contents that the store holds are known.
  bool m_hasListed = false;
  bool m_isListing = false;
  core::Instant m_listAt{};
  /// True if the service has seen a higher fencing token.
  bool m_isFenced = false;
  core::Instant m_nextSendAt{};
  /// The window during which the duty was granted.
  WindowId m_firstOwnWindow = 0;
  /// The next window that has to be added to m_windows when it ends.
  WindowId m_nextWindow = 0;
  std::map<WindowId, ReportedWindow> m_windows;
};

struct ReportingState
{
  ReportingPolicy m_policy;
  Collection m_collection;
  /// The hosts that are expected to count.
  std::vector<std::string> m_expectedHosts;
  /// Empty while this host does not hold the duty.
  std::optional<DutyTerm> m_term;
};

/// This host holds the duty.
struct DutyGranted
{
  uint64_t m_epoch = 0;
  /// Until when another host may have acted; empty if that is longer ago than
  /// the lease duration.
  std::optional<core::Instant> m_predecessorActedUntil;
};

struct DutyLost
{};

/// The contents in the store; nothing if they could not be listed.
struct ContentsListed
{
  std::optional<std::map<WindowId, CustomerCounts>> m_contents;
};

/// The store holds this content of a window.
struct ContentStored
{
  WindowId m_window = 0;
  CustomerCounts m_counts;
};

/// It is unknown which content the store holds, if any.
struct ContentUnknown
{
  WindowId m_window = 0;
};

/// The service answered 200.
struct SendAccepted
{
  WindowId m_window = 0;
};

/// The service has seen a higher fencing token.
struct SendFenced
{
  WindowId m_window = 0;
  /// The epoch under which the report was sent.
  uint64_t m_epoch = 0;
};

/// The service did not accept the report, or its answer is not known.
struct SendFailed
{
  WindowId m_window = 0;
};

struct CountsReceived
{
  CountMessage m_message;
};

/// The deadline has been reached; the hosts that are expected to count now.
struct ReportingDue
{
  std::vector<std::string> m_expectedHosts;
};

using ReportingEvent = std::variant<DutyGranted,
                                    DutyLost,
                                    ContentsListed,
                                    ContentStored,
                                    ContentUnknown,
                                    SendAccepted,
                                    SendFenced,
                                    SendFailed,
                                    CountsReceived,
                                    ReportingDue>;

/// Lists the contents in the store.
struct ListContents
{};

/// Creates the content of the window unless the store holds one. To be answered
/// with ContentStored, which names the content that the store holds, or with
/// ContentUnknown.
struct CreateContent
{
  WindowId m_window = 0;
  CustomerCounts m_counts;
  /// True if not all hosts had sent their final counts.
  bool m_isPartial = false;
};

/// Sends the report under the current epoch.
struct SendReport
{
  WindowId m_window = 0;
  CustomerCounts m_counts;
  uint64_t m_epoch = 0;
};

struct RemoveContent
{
  WindowId m_window = 0;
};

/// The window will not be reported by this holder, although it should be.
struct GiveUpWindow
{
  WindowId m_window = 0;
};

/// Gives up the lease: this epoch is of no use any more.
struct ResignDuty
{};

using ReportingEffect = std::variant<ListContents,
                                     CreateContent,
                                     SendReport,
                                     RemoveContent,
                                     GiveUpWindow,
                                     ResignDuty>;

/// Applies the event and appends the effects that the caller carries out.
void
Apply(ReportingState& aState,
      const ReportingEvent& aEvent,
      const Moment& aMoment,
      std::vector<ReportingEffect>& aEffects);

/// Returns when ReportingDue has to be applied next; nothing without the duty.
std::optional<core::Instant>
NextDeadline(const ReportingState& aState, const Moment& aMoment);

/// Returns the last window for which it and all earlier ones have a content or
/// are given up; 0 if it is unknown.
WindowId
DecidedThrough(const ReportingState& aState);

} // namespace heatherdeal::usage
