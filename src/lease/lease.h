#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/failure.h"
#include "core/instant.h"

namespace heatherdeal::lease {

/// The holder stops acting when it cannot renew the lease in time.
struct StopAtExpiry
{};

/// The holder continues to act while the store is unavailable, until it learns
/// of a new holder. Suitable only for work that two holders can safely do at
/// the same time.
struct ActUntilSuperseded
{};

using OutagePolicy = std::variant<StopAtExpiry, ActUntilSuperseded>;

/// Timing of a lease. All candidates must use the same settings.
struct LeasePolicy
{
  /// Time from the last change of the record until the lease expires.
  core::Duration m_duration = std::chrono::seconds(6);
  /// Time between the holder's renewals.
  core::Duration m_renewInterval = std::chrono::seconds(2);
  /// The holder stops acting this long before the lease expires.
  core::Duration m_safetyMargin = std::chrono::seconds(1);
  /// Delay before a failed renewal is retried, and between reads of a lease
  /// that another host holds.
  core::Duration m_retryDelay = std::chrono::milliseconds(500);
  OutagePolicy m_outagePolicy = StopAtExpiry{};
};

/// The lease as it is kept in the store.
struct LeaseRecord
{
  /// Version of the stored object, or 0 if there is no record yet.
  uint64_t m_version = 0;
  std::string m_holder;
  /// Incremented by each new holder. Serves as the fencing token of the
  /// holder's orders.
  uint64_t m_epoch = 0;
  bool m_released = false;
  /// True once the holder has held the lease for longer than its duration.
  /// Actions of earlier holders are then too old to matter.
  bool m_established = false;
};

/// Another host holds the lease, or no host does. This host may acquire it
/// once the record has not changed for the lease duration.
struct Following
{
  std::optional<LeaseRecord> m_record;
  /// When the lease expires unless the record changes.
  core::Instant m_expiresAt{};
};

/// A write that acquires the lease is in flight.
struct Acquiring
{
  LeaseRecord m_record;
  core::Instant m_sentAt{};
  /// See LeaseGranted.
  std::optional<core::Instant> m_predecessorActedUntil;
};

/// This host holds the lease and may act under it until m_actUntil.
struct Holding
{
  LeaseRecord m_record;
  core::Instant m_acquiredAt{};
  core::Instant m_actUntil{};
  /// When the next renewal is due.
  core::Instant m_renewAt{};
  /// When the renewal that is in flight was sent; empty if none is.
  std::optional<core::Instant> m_renewalSentAt;
};

/// This host has released the lease and will not acquire it again.
struct Resigned
{};

using LeaseRole = std::variant<Following, Acquiring, Holding, Resigned>;

struct LeaseState
{
  LeasePolicy m_policy;
  /// Name of this host, as written to the record.
  std::string m_self;
  LeaseRole m_role = Following{};
  core::Instant m_nextDeadline{};
};

/// A read returned the store's record.
struct ReadSucceeded
{
  LeaseRecord m_record;
};

struct ReadFailed
{
  core::Failure m_failure;
};

/// The write took effect and gave the object this version.
struct WriteSucceeded
{
  uint64_t m_version = 0;
};

struct WriteFailed
{
  core::Failure m_failure;
};

/// The time that NextDeadline returned has been reached.
struct DeadlineReached
{};

/// Requests the release of the lease, so that another host can acquire it
/// immediately.
struct ResignRequested
{};

using LeaseEvent = std::variant<ReadSucceeded,
                                ReadFailed,
                                WriteSucceeded,
                                WriteFailed,
                                DeadlineReached,
                                ResignRequested>;

/// Requests a read of the record.
struct ReadRecord
{
  /// False if a response that is a few seconds stale is acceptable.
  bool m_requireLatest = true;
};

/// Requests that m_record be written if the object still has version
/// m_ifVersion.
struct WriteRecord
{
  uint64_t m_ifVersion = 0;
  LeaseRecord m_record;
};

/// This host has acquired the lease with this epoch.
struct LeaseGranted
{
  uint64_t m_epoch = 0;
  /// This host may act until then, unless the lease is extended.
  core::Instant m_actUntil{};
  /// The latest time at which another host may have acted under the lease;
  /// empty if that is longer ago than the lease duration.
  std::optional<core::Instant> m_predecessorActedUntil;
};

/// This host has renewed the lease.
struct LeaseExtended
{
  core::Instant m_actUntil{};
};

/// This host no longer holds the lease.
struct LeaseLost
{
  /// Empty if the new holder is not known.
  std::string m_newHolder;
};

using LeaseEffect =
  std::variant<ReadRecord, WriteRecord, LeaseGranted, LeaseExtended, LeaseLost>;

/// Applies the event to the state and appends the effects that the caller has
/// to carry out.
void
Apply(LeaseState& aState,
      const LeaseEvent& aEvent,
      core::Instant aNow,
      std::vector<LeaseEffect>& aEffects);

/// Returns when the next DeadlineReached has to be applied, or Instant::max()
/// if no further one is needed.
core::Instant
NextDeadline(const LeaseState& aState);

/// True if this host may act under the lease now. Callers must check this
/// before each action, because a paused process does not notice that its lease
/// has expired.
bool
IsLeaseValid(const LeaseState& aState, core::Instant aNow);

/// Returns the known holder of the lease, or "" if it is not known.
std::string_view
HolderOf(const LeaseState& aState);

} // namespace heatherdeal::lease
