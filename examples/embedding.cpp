// Embeds the lease decisions in a program that has its own store and its own
// clock, and holds a lease for 60 s.

#include <iostream>
#include <vector>

#include "lease/lease.h"

namespace {

using namespace heatherdeal;

/// Stores one lease record in memory, in place of the embedder's own store.
struct InMemoryStore
{
  lease::LeaseRecord m_record;

  /// Writes the record if the stored one has version aIfVersion. Returns the
  /// new version, or 0 if the stored version differs.
  uint64_t WriteIfVersion(uint64_t aIfVersion, lease::LeaseRecord aRecord)
  {
    if (m_record.m_version != aIfVersion) {
      return 0;
    }
    aRecord.m_version = aIfVersion + 1;
    m_record = aRecord;
    return m_record.m_version;
  }
};

/// Applies an event and carries out its effects. The results of the effects are
/// applied as further events, until no effect is left.
void
ApplyAndExecute(lease::LeaseState& aState,
                InMemoryStore& aStore,
                const lease::LeaseEvent& aEvent,
                core::Instant aNow)
{
  std::vector<lease::LeaseEffect> effects;
  lease::Apply(aState, aEvent, aNow, effects);
  for (const lease::LeaseEffect& effect : effects) {
    if (std::holds_alternative<lease::ReadRecord>(effect)) {
      ApplyAndExecute(
        aState, aStore, lease::ReadSucceeded{ aStore.m_record }, aNow);
    } else if (const auto* write = std::get_if<lease::WriteRecord>(&effect)) {
      const uint64_t version =
        aStore.WriteIfVersion(write->m_ifVersion, write->m_record);
      ApplyAndExecute(aState, aStore, lease::WriteSucceeded{ version }, aNow);
    }
  }
}

} // namespace

int
main()
{
  InMemoryStore store;
  lease::LeaseState state;
  state.m_self = "mine";
  core::Instant now{};
  for (int second = 0; second < 60; ++second) {
    now += std::chrono::seconds(1);
    if (lease::NextDeadline(state) <= now) {
      ApplyAndExecute(state, store, lease::DeadlineReached{}, now);
    }
    if (!lease::IsLeaseValid(state, now)) {
      std::cout << "lost the lease after " << second << " s\n";
      return 1;
    }
  }
  std::cout << "held the lease for 60 s, epoch " << store.m_record.m_epoch
            << '\n';
  return 0;
}
