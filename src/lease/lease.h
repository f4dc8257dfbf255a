#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/failure.h"
#include "core/instant.h"

namespace heatherdeal::lease {

/// The holder stops when it cannot renew in time.
struct StopAtEnd
{};

/// The holder goes on while the store does not answer, until it learns of
/// another. Only for work that two holders may do at once without harm.
struct GoOnUntilTaken
{};

using OutagePolicy = std::variant<StopAtEnd, GoOnUntilTaken>;

/// Durations of a lease; settings, the same for all candidates.
struct LeasePolicy
{
  core::Duration m_length = std::chrono::seconds(6);
  /// The holder renews so long after the last renewal.
  core::Duration m_renewAfter = std::chrono::seconds(2);
  /// The holder stops so long before the lease ends.
  core::Duration m_stopBefore = std::chrono::seconds(1);
  core::Duration m_retryAfter = std::chrono::milliseconds(500);
  OutagePolicy m_outage = StopAtEnd{};
};

/// The lease as it stands in the store.
struct LeaseRecord
{
  /// Version of the object; 0: no record yet.
  uint64_t m_version = 0;
  std::string m_holder;
  /// Raised by each new holder; the fencing number of its orders.
  uint64_t m_epoch = 0;
  bool m_released = false;
};

/// Another host holds the lease, or nobody does. It may be taken when the
/// record has not changed for a whole length.
struct Following
{
  std::optional<LeaseRecord> m_record;
  core::Instant m_freeAt{};
};

/// A write that would take the lease is under way.
struct Acquiring
{
  LeaseRecord m_record;
  core::Instant m_writtenAt{};
};

/// This host holds the lease until m_stopAt.
struct Holding
{
  LeaseRecord m_record;
  core::Instant m_stopAt{};
  core::Instant m_renewAt{};
  /// Set while a renewal is under way.
  std::optional<core::Instant> m_renewalWrittenAt;
};

/// This host has given the lease up and will not take it again.
struct Resigned
{};

using LeaseRole = std::variant<Following, Acquiring, Holding, Resigned>;

struct LeaseState
{
  LeasePolicy m_policy;
  std::string m_self;
  LeaseRole m_role = Following{};
  core::Instant m_nextStep{};
};

/// The store's record, however it was learned.
struct RecordSeen
{
  LeaseRecord m_record;
};

struct ReadFailed
{
  core::Failure m_failure;
};

/// The write of m_record took effect under this version.
struct WriteSucceeded
{
  uint64_t m_version = 0;
};

struct WriteFailed
{
  core::Failure m_failure;
};

struct StepDue
{};

/// Give the lease up, so that another can take it at once.
struct ResignRequested
{};

using LeaseEvent = std::variant<RecordSeen,
                                ReadFailed,
                                WriteSucceeded,
                                WriteFailed,
                                StepDue,
                                ResignRequested>;

struct ReadRecord
{
  /// False while an answer that is seconds old does no harm.
  bool m_latest = true;
};

/// Write m_record if the object still has version m_ifVersion.
struct WriteRecord
{
  uint64_t m_ifVersion = 0;
  LeaseRecord m_record;
};

/// The lease is held under this epoch.
struct LeaseGranted
{
  uint64_t m_epoch = 0;
};

struct LeaseLost
{
  /// "" if not known.
  std::string m_newHolder;
};

using LeaseEffect =
  std::variant<ReadRecord, WriteRecord, LeaseGranted, LeaseLost>;

void
Apply(LeaseState& aState,
      const LeaseEvent& aEvent,
      core::Instant aNow,
      std::vector<LeaseEffect>& aEffects);

/// When a StepDue is due.
core::Instant
NextDeadline(const LeaseState& aState);

/// True if an order may be given under the lease now. Ask at each order: a
/// holder that was paused finds out here.
bool
MayAct(const LeaseState& aState, core::Instant aNow);

/// The holder as far as known, "" if not.
std::string_view
HolderOf(const LeaseState& aState);

} // namespace heatherdeal::lease
