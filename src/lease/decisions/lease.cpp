#include "lease/lease.h"

#include <algorithm>

#include "core/overloaded.h"

namespace heatherdeal::lease {

namespace {

using Effects = std::vector<LeaseEffect>;

void
BecomeFollower(LeaseState& aState,
               std::optional<LeaseRecord> aRecord,
               core::Instant aNow)
{
  Following following;
  // The expiry is measured on the local clock from the time of the read, so
  // that it does not depend on synchronized clocks.
  following.m_expiresAt = aNow + aState.m_policy.m_duration;
  following.m_record = std::move(aRecord);
  aState.m_role = std::move(following);
  aState.m_nextDeadline = aNow + aState.m_policy.m_retryDelay;
}

void
LoseLease(LeaseState& aState,
          std::optional<LeaseRecord> aRecord,
          core::Instant aNow,
          Effects& aEffects)
{
  aEffects.push_back(LeaseLost{ aRecord ? aRecord->m_holder : "" });
  BecomeFollower(aState, std::move(aRecord), aNow);
}

bool
ShouldActDuringOutage(const LeaseState& aState)
{
  return std::holds_alternative<ActUntilSuperseded>(
    aState.m_policy.m_outagePolicy);
}

/// Sets the deadline at which the holder next has to renew or stop.
void
ScheduleHolderStep(LeaseState& aState, const Holding& aRole, core::Instant aNow)
{
  const bool isPastActUntil = aRole.m_actUntil <= aNow;
  if (isPastActUntil) {
    aState.m_nextDeadline =
      std::max(aRole.m_renewAt, aNow + aState.m_policy.m_retryDelay);
    return;
  }
  aState.m_nextDeadline = aRole.m_renewalSentAt
                            ? aRole.m_actUntil
                            : std::min(aRole.m_renewAt, aRole.m_actUntil);
}

/// Returns the latest time at which another host may have acted under the
/// lease, or nothing if no recent holder has to be considered.
std::optional<core::Instant>
PredecessorActedUntil(const LeaseState& aState,
                      const Following& aRole,
                      const LeaseRecord& aCurrent,
                      core::Instant aNow)
{
  const bool isOwn = aCurrent.m_holder == aState.m_self;
  if (aCurrent.m_version == 0 || (isOwn && aCurrent.m_established)) {
    return std::nullopt;
  }
  if (isOwn || aCurrent.m_released) {
    return aNow;
  }
  // The holder counts from before it sent its last renewal, which this host
  // read later.
  return aRole.m_expiresAt - aState.m_policy.m_safetyMargin;
}

void
StartAcquiring(LeaseState& aState,
               const Following& aRole,
               const LeaseRecord& aCurrent,
               core::Instant aNow,
               Effects& aEffects)
{
  Acquiring acquiring;
  acquiring.m_record = { aCurrent.m_version,
                         aState.m_self,
                         aCurrent.m_epoch + 1 };
  acquiring.m_sentAt = aNow;
  acquiring.m_predecessorActedUntil =
    PredecessorActedUntil(aState, aRole, aCurrent, aNow);
  aEffects.push_back(WriteRecord{ aCurrent.m_version, acquiring.m_record });
  aState.m_role = std::move(acquiring);
  aState.m_nextDeadline = aNow + aState.m_policy.m_duration;
}

void
BecomeHolder(LeaseState& aState,
             LeaseRecord aRecord,
             core::Instant aSentAt,
             core::Instant aAcquiredAt)
{
  const LeasePolicy& policy = aState.m_policy;
  Holding holding;
  holding.m_record = std::move(aRecord);
  holding.m_acquiredAt = aAcquiredAt;
  // Counted from before the write was sent. The other hosts count from when
  // they read the record, which is later.
  holding.m_actUntil = aSentAt + policy.m_duration - policy.m_safetyMargin;
  holding.m_renewAt = aSentAt + policy.m_renewInterval;
  aState.m_nextDeadline = std::min(holding.m_renewAt, holding.m_actUntil);
  aState.m_role = std::move(holding);
}

void
HandleRecord(LeaseState& aState,
             Following& aRole,
             const LeaseRecord& aRecord,
             core::Instant aNow,
             Effects& aEffects)
{
  const bool isUnchanged =
    aRole.m_record && aRole.m_record->m_version == aRecord.m_version;
  const bool isOlder =
    aRole.m_record && aRole.m_record->m_version > aRecord.m_version;
  // A record that names this host was written before it restarted. That process
  // has ended, and no other host may act under its lease, so it can be acquired
  // without waiting.
  const bool isOwn = aRecord.m_holder == aState.m_self;
  const bool isAvailable = aRecord.m_version == 0 || aRecord.m_released ||
                           isOwn || (isUnchanged && aRole.m_expiresAt <= aNow);
  if (isOlder) {
    aState.m_nextDeadline = aNow + aState.m_policy.m_retryDelay;
    return;
  }
  if (isAvailable) {
    StartAcquiring(aState, aRole, aRecord, aNow, aEffects);
    return;
  }
  if (!isUnchanged) {
    BecomeFollower(aState, aRecord, aNow);
    return;
  }
  aState.m_nextDeadline = aNow + aState.m_policy.m_retryDelay;
}

void
HandleRecord(LeaseState& aState,
             Holding& aRole,
             const LeaseRecord& aRecord,
             core::Instant aNow,
             Effects& aEffects)
{
  if (aRecord.m_epoch > aRole.m_record.m_epoch) {
    LoseLease(aState, aRecord, aNow, aEffects);
    return;
  }
  const bool isOwn = aRecord.m_epoch == aRole.m_record.m_epoch &&
                     aRecord.m_holder == aState.m_self;
  if (isOwn && aRecord.m_version > aRole.m_record.m_version) {
    // An earlier renewal took effect although its response was lost.
    aRole.m_record.m_version = aRecord.m_version;
    aRole.m_renewAt = aNow;
    aState.m_nextDeadline = aNow;
  }
}

template<typename Role>
void
HandleRecord(LeaseState&, Role&, const LeaseRecord&, core::Instant, Effects&)
{
}

void
HandleEvent(LeaseState& aState,
            const ReadSucceeded& aEvent,
            core::Instant aNow,
            Effects& aEffects)
{
  std::visit(
    [&](auto& aRole) {
      HandleRecord(aState, aRole, aEvent.m_record, aNow, aEffects);
    },
    aState.m_role);
}

void
HandleEvent(LeaseState& aState, const ReadFailed&, core::Instant aNow, Effects&)
{
  aState.m_nextDeadline =
    std::min(aState.m_nextDeadline, aNow + aState.m_policy.m_retryDelay);
}

void
HandleWriteSuccess(LeaseState& aState,
                   Acquiring& aRole,
                   uint64_t aVersion,
                   core::Instant aNow,
                   Effects& aEffects)
{
  LeaseRecord record = aRole.m_record;
  record.m_version = aVersion;
  const uint64_t epoch = record.m_epoch;
  const std::optional<core::Instant> predecessorActedUntil =
    aRole.m_predecessorActedUntil;
  BecomeHolder(aState, std::move(record), aRole.m_sentAt, aNow);
  if (IsLeaseValid(aState, aNow)) {
    const core::Instant actUntil = std::get<Holding>(aState.m_role).m_actUntil;
    aEffects.push_back(LeaseGranted{ epoch, actUntil, predecessorActedUntil });
    return;
  }
  // The response arrived after the lease had already expired.
  BecomeFollower(aState, std::nullopt, aNow);
}

void
HandleWriteSuccess(LeaseState& aState,
                   Holding& aRole,
                   uint64_t aVersion,
                   core::Instant aNow,
                   Effects& aEffects)
{
  if (!aRole.m_renewalSentAt) {
    return;
  }
  const core::Instant sentAt = *aRole.m_renewalSentAt;
  LeaseRecord record = aRole.m_record;
  record.m_version = aVersion;
  const core::Instant acquiredAt = aRole.m_acquiredAt;
  BecomeHolder(aState, std::move(record), sentAt, acquiredAt);
  if (!IsLeaseValid(aState, aNow) && !ShouldActDuringOutage(aState)) {
    LoseLease(aState, std::nullopt, aNow, aEffects);
    return;
  }
  const core::Instant actUntil = std::get<Holding>(aState.m_role).m_actUntil;
  aEffects.push_back(LeaseExtended{ actUntil });
}

template<typename Role>
void
HandleWriteSuccess(LeaseState&, Role&, uint64_t, core::Instant, Effects&)
{
}

void
HandleEvent(LeaseState& aState,
            const WriteSucceeded& aEvent,
            core::Instant aNow,
            Effects& aEffects)
{
  std::visit(
    [&](auto& aRole) {
      HandleWriteSuccess(aState, aRole, aEvent.m_version, aNow, aEffects);
    },
    aState.m_role);
}

void
HandleWriteFailure(LeaseState& aState,
                   Acquiring&,
                   const core::Failure&,
                   core::Instant aNow,
                   Effects&)
{
  // The next read shows whether the write took effect.
  BecomeFollower(aState, std::nullopt, aNow);
}

void
HandleWriteFailure(LeaseState& aState,
                   Holding& aRole,
                   const core::Failure& aFailure,
                   core::Instant aNow,
                   Effects& aEffects)
{
  aRole.m_renewalSentAt.reset();
  if (std::holds_alternative<core::VersionConflict>(aFailure)) {
    // Either another host took the lease, or an earlier renewal by this host
    // took effect and its response was lost.
    aEffects.push_back(ReadRecord{});
  }
  aRole.m_renewAt = aNow + aState.m_policy.m_retryDelay;
  ScheduleHolderStep(aState, aRole, aNow);
}

template<typename Role>
void
HandleWriteFailure(LeaseState&,
                   Role&,
                   const core::Failure&,
                   core::Instant,
                   Effects&)
{
}

void
HandleEvent(LeaseState& aState,
            const WriteFailed& aEvent,
            core::Instant aNow,
            Effects& aEffects)
{
  std::visit(
    [&](auto& aRole) {
      HandleWriteFailure(aState, aRole, aEvent.m_failure, aNow, aEffects);
    },
    aState.m_role);
}

/// True while the known record is recent enough that the holder's next renewal
/// is not overdue.
bool
IsRenewalCurrent(const LeaseState& aState,
                 const Following& aRole,
                 core::Instant aNow)
{
  const LeasePolicy& policy = aState.m_policy;
  const core::Instant readAt = aRole.m_expiresAt - policy.m_duration;
  return aRole.m_record && !aRole.m_record->m_released &&
         aNow < readAt + policy.m_renewInterval + policy.m_retryDelay;
}

void
HandleDeadline(LeaseState& aState,
               Following& aRole,
               core::Instant aNow,
               Effects& aEffects)
{
  aEffects.push_back(ReadRecord{ !IsRenewalCurrent(aState, aRole, aNow) });
  aState.m_nextDeadline = aNow + aState.m_policy.m_duration;
}

void
HandleDeadline(LeaseState& aState, Acquiring&, core::Instant aNow, Effects&)
{
  BecomeFollower(aState, std::nullopt, aNow);
}

void
HandleDeadline(LeaseState& aState,
               Holding& aRole,
               core::Instant aNow,
               Effects& aEffects)
{
  const bool isPastActUntil = aRole.m_actUntil <= aNow;
  if (isPastActUntil && !ShouldActDuringOutage(aState)) {
    LoseLease(aState, std::nullopt, aNow, aEffects);
    return;
  }
  if (isPastActUntil) {
    // Treats a renewal without a response by now as failed.
    aRole.m_renewalSentAt.reset();
  }
  if (aRole.m_renewAt <= aNow && !aRole.m_renewalSentAt) {
    aRole.m_renewalSentAt = aNow;
    aRole.m_record.m_established =
      aNow >= aRole.m_acquiredAt + aState.m_policy.m_duration;
    aEffects.push_back(WriteRecord{ aRole.m_record.m_version, aRole.m_record });
  }
  ScheduleHolderStep(aState, aRole, aNow);
}

void
HandleDeadline(LeaseState& aState, Resigned&, core::Instant, Effects&)
{
  aState.m_nextDeadline = core::Instant::max();
}

void
HandleEvent(LeaseState& aState,
            const DeadlineReached&,
            core::Instant aNow,
            Effects& aEffects)
{
  if (aNow < aState.m_nextDeadline) {
    return;
  }
  std::visit(
    [&](auto& aRole) { HandleDeadline(aState, aRole, aNow, aEffects); },
    aState.m_role);
}

void
HandleEvent(LeaseState& aState,
            const ResignRequested&,
            core::Instant,
            Effects& aEffects)
{
  if (const Holding* holding = std::get_if<Holding>(&aState.m_role)) {
    LeaseRecord record = holding->m_record;
    record.m_released = true;
    aEffects.push_back(LeaseLost{});
    aEffects.push_back(WriteRecord{ holding->m_record.m_version, record });
  }
  aState.m_role = Resigned{};
  aState.m_nextDeadline = core::Instant::max();
}

} // namespace

void
Apply(LeaseState& aState,
      const LeaseEvent& aEvent,
      core::Instant aNow,
      std::vector<LeaseEffect>& aEffects)
{
  std::visit(
    [&](const auto& aTyped) { HandleEvent(aState, aTyped, aNow, aEffects); },
    aEvent);
}

core::Instant
NextDeadline(const LeaseState& aState)
{
  return aState.m_nextDeadline;
}

bool
IsLeaseValid(const LeaseState& aState, core::Instant aNow)
{
  const Holding* holding = std::get_if<Holding>(&aState.m_role);
  return holding != nullptr && aNow < holding->m_actUntil;
}

std::string_view
HolderOf(const LeaseState& aState)
{
  return std::visit(
    core::Overloaded{
      [](const Following& aRole) {
        return aRole.m_record ? std::string_view(aRole.m_record->m_holder)
                              : std::string_view();
      },
      [&aState](const Holding&) { return std::string_view(aState.m_self); },
      [](const auto&) { return std::string_view(); } },
    aState.m_role);
}

} // namespace heatherdeal::lease
