#include "usage/reporting.h"

#include <algorithm>

namespace heatherdeal::usage {

namespace {

using Effects = std::vector<ReportingEffect>;

constexpr core::Duration kRetryDelay = std::chrono::milliseconds(500);
// A report that is overdue is repeated less often, so that an outage of the
// service does not fill the rate limit that several duties share.
constexpr core::Duration kOverdueRetryDelay = std::chrono::seconds(3);
// At most 10 of the 50 calls per second that the service accepts of all duties.
constexpr core::Duration kSendSpacing = std::chrono::milliseconds(100);
constexpr size_t kMaxSending = 4;
constexpr size_t kMaxWriting = 4;
// How often the holder checks whether hosts have sent their final counts.
constexpr core::Duration kCloseCheckInterval = std::chrono::milliseconds(200);
// Hosts send their final counts no earlier; see kFinalDelay of the sender.
constexpr int64_t kFirstCloseCheckMilliseconds = 2500;

int64_t
AgeOf(const ReportingState& aState, WindowId aWindow, const Moment& aMoment)
{
  return aMoment.m_unixMilliseconds -
         EndOf(aWindow, aState.m_policy.m_windowMilliseconds);
}

bool
IsOverdue(const ReportingState& aState, WindowId aWindow, const Moment& aMoment)
{
  return AgeOf(aState, aWindow, aMoment) >
         aState.m_policy.m_reportWithinMilliseconds;
}

/// Returns the first window that may still get a content.
WindowId
FirstOpenWindow(const ReportingPolicy& aPolicy, const Moment& aMoment)
{
  return WindowAt(aMoment.m_unixMilliseconds -
                    aPolicy.m_newestContentMilliseconds,
                  aPolicy.m_windowMilliseconds);
}

void
GiveUp(WindowId aId, ReportedWindow& aWindow, Effects& aEffects)
{
  aWindow.m_phase = GivenUp{};
  aEffects.push_back(GiveUpWindow{ aId });
}

void
AddEndedWindows(ReportingState& aState, const Moment& aMoment)
{
  DutyTerm& term = *aState.m_term;
  const WindowId current =
    WindowAt(aMoment.m_unixMilliseconds, aState.m_policy.m_windowMilliseconds);
  // Also bounds the work after the clock was set forward.
  term.m_nextWindow =
    std::max(term.m_nextWindow, FirstOpenWindow(aState.m_policy, aMoment));
  for (; term.m_nextWindow < current; ++term.m_nextWindow) {
    term.m_windows.try_emplace(term.m_nextWindow);
  }
}

void
CloseIfComplete(const ReportingState& aState,
                WindowId aId,
                ReportedWindow& aWindow,
                const Moment& aMoment,
                Effects& aEffects)
{
  const ReportingPolicy& policy = aState.m_policy;
  const int64_t age = AgeOf(aState, aId, aMoment);
  if (age > policy.m_newestContentMilliseconds) {
    const bool isOwn = aId >= aState.m_term->m_firstOwnWindow;
    if (isOwn || !MergeCounts(aState.m_collection, aId).empty()) {
      GiveUp(aId, aWindow, aEffects);
    } else {
      aWindow.m_phase = GivenUp{};
    }
    return;
  }
  const bool isFinal =
    IsFinal(aState.m_collection, aState.m_expectedHosts, aId);
  // If no host has sent anything, what this holder would report is not a count.
  const bool mustClose =
    age >= policy.m_decideWithinMilliseconds &&
    aMoment.m_now >= aState.m_term->m_grantedAt + policy.m_collectTime &&
    !aState.m_collection.m_runs.empty();
  if (!isFinal && !mustClose) {
    return;
  }
  CustomerCounts counts = MergeCounts(aState.m_collection, aId);
  // Nobody remembers the window, and an empty report would be late anyway. For
  // each new holder, that is so for the windows before the hosts started.
  if (counts.empty() && IsOverdue(aState, aId, aMoment)) {
    aWindow.m_phase = GivenUp{};
    return;
  }
  aWindow.m_phase = WritingContent{ std::move(counts), aMoment.m_now, false };
}

size_t
CountInFlight(const DutyTerm& aTerm, bool aIsWrite)
{
  return static_cast<size_t>(
    std::ranges::count_if(aTerm.m_windows, [&](const auto& aEntry) {
      const WindowPhase& phase = aEntry.second.m_phase;
      const auto* writing = std::get_if<WritingContent>(&phase);
      const auto* sending = std::get_if<SendingContent>(&phase);
      return aIsWrite ? writing != nullptr && writing->m_isInFlight
                      : sending != nullptr && sending->m_isInFlight;
    }));
}

void
WriteIfDue(const ReportingState& aState,
           WindowId aId,
           ReportedWindow& aWindow,
           const Moment& aMoment,
           Effects& aEffects)
{
  auto& writing = std::get<WritingContent>(aWindow.m_phase);
  if (writing.m_isInFlight || aMoment.m_now < writing.m_writeAt) {
    return;
  }
  if (AgeOf(aState, aId, aMoment) >
      aState.m_policy.m_newestContentMilliseconds) {
    GiveUp(aId, aWindow, aEffects);
    return;
  }
  if (CountInFlight(*aState.m_term, true) >= kMaxWriting) {
    return;
  }
  writing.m_isInFlight = true;
  aWindow.m_mayBeStored = true;
  const bool isPartial =
    !IsFinal(aState.m_collection, aState.m_expectedHosts, aId);
  aEffects.push_back(CreateContent{ aId, writing.m_counts, isPartial });
}

void
AdvanceWindow(const ReportingState& aState,
              WindowId aId,
              ReportedWindow& aWindow,
              const Moment& aMoment,
              Effects& aEffects)
{
  if (std::holds_alternative<Collecting>(aWindow.m_phase)) {
    CloseIfComplete(aState, aId, aWindow, aMoment, aEffects);
  }
  if (std::holds_alternative<WritingContent>(aWindow.m_phase)) {
    WriteIfDue(aState, aId, aWindow, aMoment, aEffects);
  }
  if (std::holds_alternative<SendingContent>(aWindow.m_phase) &&
      AgeOf(aState, aId, aMoment) > aState.m_policy.m_lastSendMilliseconds) {
    GiveUp(aId, aWindow, aEffects);
  }
}

/// Returns the window whose report is to be sent next: the first that is not
/// overdue, else the newest overdue one.
std::optional<WindowId>
ChooseWindowToSend(const ReportingState& aState, const Moment& aMoment)
{
  std::optional<WindowId> overdue;
  for (const auto& [id, window] : aState.m_term->m_windows) {
    const auto* sending = std::get_if<SendingContent>(&window.m_phase);
    const bool isReady = sending != nullptr && !sending->m_isInFlight &&
                         sending->m_sendAt <= aMoment.m_now;
    if (isReady && !IsOverdue(aState, id, aMoment)) {
      return id;
    }
    if (isReady) {
      overdue = id;
    }
  }
  return overdue;
}

void
SendNext(ReportingState& aState, const Moment& aMoment, Effects& aEffects)
{
  DutyTerm& term = *aState.m_term;
  if (term.m_isFenced || aMoment.m_now < term.m_sendFrom ||
      aMoment.m_now < term.m_nextSendAt ||
      CountInFlight(term, false) >= kMaxSending) {
    return;
  }
  if (const auto id = ChooseWindowToSend(aState, aMoment)) {
    auto& sending = std::get<SendingContent>(term.m_windows.at(*id).m_phase);
    sending.m_isInFlight = true;
    term.m_nextSendAt = aMoment.m_now + kSendSpacing;
    aEffects.push_back(SendReport{ *id, sending.m_counts, term.m_epoch });
  }
}

void
RemoveOldWindows(ReportingState& aState,
                 const Moment& aMoment,
                 Effects& aEffects)
{
  std::erase_if(aState.m_term->m_windows, [&](const auto& aEntry) {
    const bool isOld = AgeOf(aState, aEntry.first, aMoment) >
                       aState.m_policy.m_removeAfterMilliseconds;
    if (isOld && aEntry.second.m_mayBeStored) {
      aEffects.push_back(RemoveContent{ aEntry.first });
    }
    return isOld;
  });
  RemoveWindowsBefore(aState.m_collection,
                      FirstOpenWindow(aState.m_policy, aMoment));
}

void
Advance(ReportingState& aState, const Moment& aMoment, Effects& aEffects)
{
  if (!aState.m_term) {
    return;
  }
  DutyTerm& term = *aState.m_term;
  if (!term.m_hasListed) {
    if (!term.m_isListing && aMoment.m_now >= term.m_listAt) {
      term.m_isListing = true;
      aEffects.push_back(ListContents{});
    }
    return;
  }
  AddEndedWindows(aState, aMoment);
  for (auto& [id, window] : term.m_windows) {
    AdvanceWindow(aState, id, window, aMoment, aEffects);
  }
  SendNext(aState, aMoment, aEffects);
  RemoveOldWindows(aState, aMoment, aEffects);
}

ReportedWindow*
FindWindow(ReportingState& aState, WindowId aWindow)
{
  if (!aState.m_term) {
    return nullptr;
  }
  const auto found = aState.m_term->m_windows.find(aWindow);
  return found == aState.m_term->m_windows.end() ? nullptr : &found->second;
}

void
HandleEvent(ReportingState& aState,
            const DutyGranted& aEvent,
            const Moment& aMoment,
            Effects&)
{
  DutyTerm term;
  term.m_epoch = aEvent.m_epoch;
  term.m_grantedAt = aMoment.m_now;
  term.m_sendFrom = aMoment.m_now;
  term.m_firstOwnWindow =
    WindowAt(aMoment.m_unixMilliseconds, aState.m_policy.m_windowMilliseconds);
  term.m_nextWindow = FirstOpenWindow(aState.m_policy, aMoment);
  if (!aState.m_policy.m_serviceChecksFences &&
      aEvent.m_predecessorActedUntil) {
    term.m_sendFrom = std::max(
      aMoment.m_now, *aEvent.m_predecessorActedUntil + aState.m_policy.m_lease);
  }
  aState.m_collection = {};
  aState.m_term = std::move(term);
}

void
HandleEvent(ReportingState& aState, const DutyLost&, const Moment&, Effects&)
{
  aState.m_term.reset();
  aState.m_collection = {};
}

void
HandleEvent(ReportingState& aState,
            const ContentsListed& aEvent,
            const Moment& aMoment,
            Effects&)
{
  if (!aState.m_term || aState.m_term->m_hasListed) {
    return;
  }
  DutyTerm& term = *aState.m_term;
  term.m_isListing = false;
  term.m_listAt = aMoment.m_now + kRetryDelay;
  if (!aEvent.m_contents) {
    return;
  }
  term.m_hasListed = true;
  for (const auto& [id, counts] : *aEvent.m_contents) {
    // A content that is too old to be sent is only removed.
    const bool isOld =
      AgeOf(aState, id, aMoment) > aState.m_policy.m_lastSendMilliseconds;
    term.m_windows[id] = { isOld ? WindowPhase(GivenUp{})
                                 : WindowPhase(SendingContent{
                                     counts, aMoment.m_now, false }),
                           true };
  }
}

void
HandleEvent(ReportingState& aState,
            const ContentStored& aEvent,
            const Moment& aMoment,
            Effects&)
{
  ReportedWindow* window = FindWindow(aState, aEvent.m_window);
  if (window != nullptr &&
      std::holds_alternative<WritingContent>(window->m_phase)) {
    window->m_phase = SendingContent{ aEvent.m_counts, aMoment.m_now, false };
  }
}

void
HandleEvent(ReportingState& aState,
            const ContentUnknown& aEvent,
            const Moment& aMoment,
            Effects&)
{
  ReportedWindow* window = FindWindow(aState, aEvent.m_window);
  auto* writing =
    window == nullptr ? nullptr : std::get_if<WritingContent>(&window->m_phase);
  if (writing != nullptr) {
    writing->m_isInFlight = false;
    writing->m_writeAt = aMoment.m_now + kRetryDelay;
  }
}

void
HandleEvent(ReportingState& aState,
            const SendAccepted& aEvent,
            const Moment&,
            Effects&)
{
  ReportedWindow* window = FindWindow(aState, aEvent.m_window);
  if (window != nullptr &&
      std::holds_alternative<SendingContent>(window->m_phase)) {
    window->m_phase = ReportAccepted{};
  }
}

void
RetryLater(ReportingState& aState, WindowId aId, const Moment& aMoment)
{
  ReportedWindow* window = FindWindow(aState, aId);
  auto* sending =
    window == nullptr ? nullptr : std::get_if<SendingContent>(&window->m_phase);
  if (sending != nullptr) {
    sending->m_isInFlight = false;
    sending->m_sendAt =
      aMoment.m_now +
      (IsOverdue(aState, aId, aMoment) ? kOverdueRetryDelay : kRetryDelay);
  }
}

void
HandleEvent(ReportingState& aState,
            const SendFenced& aEvent,
            const Moment& aMoment,
            Effects& aEffects)
{
  RetryLater(aState, aEvent.m_window, aMoment);
  const bool isCurrent =
    aState.m_term && aState.m_term->m_epoch == aEvent.m_epoch;
  if (isCurrent && !aState.m_term->m_isFenced) {
    aState.m_term->m_isFenced = true;
    aEffects.push_back(ResignDuty{});
  }
}

void
HandleEvent(ReportingState& aState,
            const SendFailed& aEvent,
            const Moment& aMoment,
            Effects&)
{
  RetryLater(aState, aEvent.m_window, aMoment);
}

void
HandleEvent(ReportingState& aState,
            const CountsReceived& aEvent,
            const Moment& aMoment,
            Effects&)
{
  const ReportingPolicy& policy = aState.m_policy;
  // The clock of the other host may be a little ahead.
  const WindowId last =
    WindowAt(aMoment.m_unixMilliseconds, policy.m_windowMilliseconds) + 1;
  if (aState.m_term && aEvent.m_message.m_epoch == aState.m_term->m_epoch) {
    AddMessage(aState.m_collection,
               aEvent.m_message,
               FirstOpenWindow(policy, aMoment),
               last);
  }
}

void
HandleEvent(ReportingState& aState,
            const ReportingDue& aEvent,
            const Moment&,
            Effects&)
{
  aState.m_expectedHosts = aEvent.m_expectedHosts;
}

} // namespace

void
Apply(ReportingState& aState,
      const ReportingEvent& aEvent,
      const Moment& aMoment,
      std::vector<ReportingEffect>& aEffects)
{
  std::visit(
    [&](const auto& aTyped) { HandleEvent(aState, aTyped, aMoment, aEffects); },
    aEvent);
  // Messages arrive many times a second; the next deadline sees to them.
  if (!std::holds_alternative<CountsReceived>(aEvent)) {
    Advance(aState, aMoment, aEffects);
  }
}

std::optional<core::Instant>
NextDeadline(const ReportingState& aState, const Moment& aMoment)
{
  if (!aState.m_term) {
    return std::nullopt;
  }
  const DutyTerm& term = *aState.m_term;
  if (!term.m_hasListed) {
    return term.m_isListing ? aMoment.m_now + kRetryDelay : term.m_listAt;
  }
  const int64_t untilCheck =
    EndOf(term.m_nextWindow, aState.m_policy.m_windowMilliseconds) +
    kFirstCloseCheckMilliseconds - aMoment.m_unixMilliseconds;
  core::Instant next =
    aMoment.m_now + std::chrono::milliseconds(std::max<int64_t>(untilCheck, 1));
  for (const auto& [id, window] : term.m_windows) {
    if (std::holds_alternative<Collecting>(window.m_phase)) {
      next = std::min(next, aMoment.m_now + kCloseCheckInterval);
    }
    const auto* writing = std::get_if<WritingContent>(&window.m_phase);
    if (writing != nullptr && !writing->m_isInFlight) {
      next = std::min(
        next, std::max(writing->m_writeAt, aMoment.m_now + kSendSpacing));
    }
    const auto* sending = std::get_if<SendingContent>(&window.m_phase);
    if (sending != nullptr && !sending->m_isInFlight && !term.m_isFenced) {
      next = std::min(next,
                      std::max({ sending->m_sendAt,
                                 term.m_sendFrom,
                                 term.m_nextSendAt,
                                 aMoment.m_now + kSendSpacing }));
    }
  }
  return next;
}

WindowId
DecidedThrough(const ReportingState& aState)
{
  if (!aState.m_term || !aState.m_term->m_hasListed ||
      aState.m_term->m_nextWindow == 0) {
    return 0;
  }
  const auto undecided =
    std::ranges::find_if(aState.m_term->m_windows, [](const auto& aEntry) {
      const WindowPhase& phase = aEntry.second.m_phase;
      return std::holds_alternative<Collecting>(phase) ||
             std::holds_alternative<WritingContent>(phase);
    });
  const bool isDecided = undecided == aState.m_term->m_windows.end();
  const WindowId next =
    isDecided ? aState.m_term->m_nextWindow : undecided->first;
  return next == 0 ? 0 : next - 1;
}

} // namespace heatherdeal::usage
