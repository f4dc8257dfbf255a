#include "lease/lease.h"

#include <algorithm>

#include "core/overloaded.h"

namespace heatherdeal::lease {

namespace {

using Effects = std::vector<LeaseEffect>;

void
Follow(LeaseState& aState,
       std::optional<LeaseRecord> aRecord,
       core::Instant aNow)
{
  Following following;
  // The expiry is measured on the local clock from the time of the read, so
  // that it does not depend on synchronized clocks.
  following.m_freeAt = aNow + aState.m_policy.m_length;
  following.m_record = std::move(aRecord);
  aState.m_role = std::move(following);
  aState.m_nextStep = aNow + aState.m_policy.m_retryAfter;
}

void
Lose(LeaseState& aState,
     std::optional<LeaseRecord> aRecord,
     core::Instant aNow,
     Effects& aEffects)
{
  aEffects.push_back(LeaseLost{ aRecord ? aRecord->m_holder : "" });
  Follow(aState, std::move(aRecord), aNow);
}

bool
GoesOn(const LeaseState& aState)
{
  return std::holds_alternative<GoOnUntilTaken>(aState.m_policy.m_outage);
}

/// Sets the deadline at which the holder next has to renew or stop.
void
PlanHolding(LeaseState& aState, const Holding& aRole, core::Instant aNow)
{
  const bool overdue = aRole.m_stopAt <= aNow;
  if (overdue) {
    aState.m_nextStep =
      std::max(aRole.m_renewAt, aNow + aState.m_policy.m_retryAfter);
    return;
  }
  aState.m_nextStep = aRole.m_renewalWrittenAt
                        ? aRole.m_stopAt
                        : std::min(aRole.m_renewAt, aRole.m_stopAt);
}

void
Acquire(LeaseState& aState,
        const LeaseRecord& aSeen,
        core::Instant aNow,
        Effects& aEffects)
{
  Acquiring acquiring;
  acquiring.m_record = { aSeen.m_version, aState.m_self, aSeen.m_epoch + 1 };
  acquiring.m_writtenAt = aNow;
  aEffects.push_back(WriteRecord{ aSeen.m_version, acquiring.m_record });
  aState.m_role = std::move(acquiring);
  aState.m_nextStep = aNow + aState.m_policy.m_length;
}

void
Hold(LeaseState& aState, LeaseRecord aRecord, core::Instant aWrittenAt)
{
  const LeasePolicy& policy = aState.m_policy;
  Holding holding;
  holding.m_record = std::move(aRecord);
  // Counted from before the write was sent. The other hosts count from when
  // they read the record, which is later.
  holding.m_stopAt = aWrittenAt + policy.m_length - policy.m_stopBefore;
  holding.m_renewAt = aWrittenAt + policy.m_renewAfter;
  aState.m_nextStep = std::min(holding.m_renewAt, holding.m_stopAt);
  aState.m_role = std::move(holding);
}

void
Seen(LeaseState& aState,
     Following& aRole,
     const LeaseRecord& aRecord,
     core::Instant aNow,
     Effects& aEffects)
{
  const bool unchanged =
    aRole.m_record && aRole.m_record->m_version == aRecord.m_version;
  const bool older =
    aRole.m_record && aRole.m_record->m_version > aRecord.m_version;
  // The record was written before this host restarted. That process has
  // ended and no other host may act under its lease.
  const bool own = aRecord.m_holder == aState.m_self;
  const bool free = aRecord.m_version == 0 || aRecord.m_released || own ||
                    (unchanged && aRole.m_freeAt <= aNow);
  if (older) {
    aState.m_nextStep = aNow + aState.m_policy.m_retryAfter;
    return;
  }
  if (free) {
    Acquire(aState, aRecord, aNow, aEffects);
    return;
  }
  if (!unchanged) {
    Follow(aState, aRecord, aNow);
    return;
  }
  aState.m_nextStep = aNow + aState.m_policy.m_retryAfter;
}

void
Seen(LeaseState& aState,
     Holding& aRole,
     const LeaseRecord& aRecord,
     core::Instant aNow,
     Effects& aEffects)
{
  if (aRecord.m_epoch > aRole.m_record.m_epoch) {
    Lose(aState, aRecord, aNow, aEffects);
    return;
  }
  const bool own = aRecord.m_epoch == aRole.m_record.m_epoch &&
                   aRecord.m_holder == aState.m_self;
  if (own && aRecord.m_version > aRole.m_record.m_version) {
    // An earlier renewal took effect although its response was lost.
    aRole.m_record.m_version = aRecord.m_version;
    aRole.m_renewAt = aNow;
    aState.m_nextStep = aNow;
  }
}

template<typename Role>
void
Seen(LeaseState&, Role&, const LeaseRecord&, core::Instant, Effects&)
{
}

void
On(LeaseState& aState,
   const RecordSeen& aEvent,
   core::Instant aNow,
   Effects& aEffects)
{
  std::visit(
    [&](auto& aRole) { Seen(aState, aRole, aEvent.m_record, aNow, aEffects); },
    aState.m_role);
}

void
On(LeaseState& aState, const ReadFailed&, core::Instant aNow, Effects&)
{
  aState.m_nextStep =
    std::min(aState.m_nextStep, aNow + aState.m_policy.m_retryAfter);
}

void
Written(LeaseState& aState,
        Acquiring& aRole,
        uint64_t aVersion,
        core::Instant aNow,
        Effects& aEffects)
{
  LeaseRecord record = aRole.m_record;
  record.m_version = aVersion;
  const uint64_t epoch = record.m_epoch;
  Hold(aState, std::move(record), aRole.m_writtenAt);
  if (MayAct(aState, aNow)) {
    aEffects.push_back(LeaseGranted{ epoch });
    return;
  }
  // The response arrived after the lease had already expired.
  Follow(aState, std::nullopt, aNow);
}

void
Written(LeaseState& aState,
        Holding& aRole,
        uint64_t aVersion,
        core::Instant aNow,
        Effects& aEffects)
{
  if (!aRole.m_renewalWrittenAt) {
    return;
  }
  const core::Instant writtenAt = *aRole.m_renewalWrittenAt;
  LeaseRecord record = aRole.m_record;
  record.m_version = aVersion;
  Hold(aState, std::move(record), writtenAt);
  if (!MayAct(aState, aNow) && !GoesOn(aState)) {
    Lose(aState, std::nullopt, aNow, aEffects);
  }
}

template<typename Role>
void
Written(LeaseState&, Role&, uint64_t, core::Instant, Effects&)
{
}

void
On(LeaseState& aState,
   const WriteSucceeded& aEvent,
   core::Instant aNow,
   Effects& aEffects)
{
  std::visit(
    [&](auto& aRole) {
      Written(aState, aRole, aEvent.m_version, aNow, aEffects);
    },
    aState.m_role);
}

void
Unwritten(LeaseState& aState,
          Acquiring&,
          const core::Failure&,
          core::Instant aNow,
          Effects&)
{
  // The next read shows whether the write took effect.
  Follow(aState, std::nullopt, aNow);
}

void
Unwritten(LeaseState& aState,
          Holding& aRole,
          const core::Failure& aFailure,
          core::Instant aNow,
          Effects& aEffects)
{
  aRole.m_renewalWrittenAt.reset();
  if (std::holds_alternative<core::VersionConflict>(aFailure)) {
    // Either another host took the lease, or an earlier renewal by this host
    // took effect and its response was lost.
    aEffects.push_back(ReadRecord{});
  }
  aRole.m_renewAt = aNow + aState.m_policy.m_retryAfter;
  PlanHolding(aState, aRole, aNow);
}

template<typename Role>
void
Unwritten(LeaseState&, Role&, const core::Failure&, core::Instant, Effects&)
{
}

void
On(LeaseState& aState,
   const WriteFailed& aEvent,
   core::Instant aNow,
   Effects& aEffects)
{
  std::visit(
    [&](auto& aRole) {
      Unwritten(aState, aRole, aEvent.m_failure, aNow, aEffects);
    },
    aState.m_role);
}

/// True while the known record is recent enough that the holder's next renewal
/// is not overdue.
bool
IsSettled(const LeaseState& aState, const Following& aRole, core::Instant aNow)
{
  const LeasePolicy& policy = aState.m_policy;
  const core::Instant seenAt = aRole.m_freeAt - policy.m_length;
  return aRole.m_record && !aRole.m_record->m_released &&
         aNow < seenAt + policy.m_renewAfter + policy.m_retryAfter;
}

void
Step(LeaseState& aState,
     Following& aRole,
     core::Instant aNow,
     Effects& aEffects)
{
  aEffects.push_back(ReadRecord{ !IsSettled(aState, aRole, aNow) });
  aState.m_nextStep = aNow + aState.m_policy.m_length;
}

void
Step(LeaseState& aState, Acquiring&, core::Instant aNow, Effects&)
{
  Follow(aState, std::nullopt, aNow);
}

void
Step(LeaseState& aState, Holding& aRole, core::Instant aNow, Effects& aEffects)
{
  const bool overdue = aRole.m_stopAt <= aNow;
  if (overdue && !GoesOn(aState)) {
    Lose(aState, std::nullopt, aNow, aEffects);
    return;
  }
  if (overdue) {
    // Treats a renewal without a response by now as failed.
    aRole.m_renewalWrittenAt.reset();
  }
  if (aRole.m_renewAt <= aNow && !aRole.m_renewalWrittenAt) {
    aRole.m_renewalWrittenAt = aNow;
    aEffects.push_back(WriteRecord{ aRole.m_record.m_version, aRole.m_record });
  }
  PlanHolding(aState, aRole, aNow);
}

void
Step(LeaseState& aState, Resigned&, core::Instant, Effects&)
{
  aState.m_nextStep = core::Instant::max();
}

void
On(LeaseState& aState, const StepDue&, core::Instant aNow, Effects& aEffects)
{
  if (aNow < aState.m_nextStep) {
    return;
  }
  std::visit([&](auto& aRole) { Step(aState, aRole, aNow, aEffects); },
             aState.m_role);
}

void
On(LeaseState& aState, const ResignRequested&, core::Instant, Effects& aEffects)
{
  if (const Holding* holding = std::get_if<Holding>(&aState.m_role)) {
    LeaseRecord record = holding->m_record;
    record.m_released = true;
    aEffects.push_back(LeaseLost{});
    aEffects.push_back(WriteRecord{ holding->m_record.m_version, record });
  }
  aState.m_role = Resigned{};
  aState.m_nextStep = core::Instant::max();
}

} // namespace

void
Apply(LeaseState& aState,
      const LeaseEvent& aEvent,
      core::Instant aNow,
      std::vector<LeaseEffect>& aEffects)
{
  std::visit([&](const auto& aTyped) { On(aState, aTyped, aNow, aEffects); },
             aEvent);
}

core::Instant
NextDeadline(const LeaseState& aState)
{
  return aState.m_nextStep;
}

bool
MayAct(const LeaseState& aState, core::Instant aNow)
{
  const Holding* holding = std::get_if<Holding>(&aState.m_role);
  return holding != nullptr && aNow < holding->m_stopAt;
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
