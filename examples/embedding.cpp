// Keeps a lease in a store of the embedder's own, on a clock of its own.

#include <iostream>
#include <vector>

#include "lease/lease.h"

namespace {

using namespace heatherdeal;

/// The embedder's store: one record.
struct OwnStore
{
  lease::LeaseRecord m_record;

  /// The new version, or 0 if the record has another.
  uint64_t Write(uint64_t aIfVersion, lease::LeaseRecord aRecord)
  {
    if (m_record.m_version != aIfVersion) {
      return 0;
    }
    aRecord.m_version = aIfVersion + 1;
    m_record = aRecord;
    return m_record.m_version;
  }
};

/// Carries out the effects until there are none.
void
Drive(lease::LeaseState& aState,
      OwnStore& aStore,
      const lease::LeaseEvent& aEvent,
      core::Instant aNow)
{
  std::vector<lease::LeaseEffect> effects;
  lease::Apply(aState, aEvent, aNow, effects);
  for (const lease::LeaseEffect& effect : effects) {
    if (std::holds_alternative<lease::ReadRecord>(effect)) {
      Drive(aState, aStore, lease::ReadSucceeded{ aStore.m_record }, aNow);
    } else if (const auto* write = std::get_if<lease::WriteRecord>(&effect)) {
      const uint64_t version =
        aStore.Write(write->m_ifVersion, write->m_record);
      Drive(aState, aStore, lease::WriteSucceeded{ version }, aNow);
    }
  }
}

} // namespace

int
main()
{
  OwnStore store;
  lease::LeaseState state;
  state.m_self = "mine";
  core::Instant now{};
  for (int second = 0; second < 60; ++second) {
    now += std::chrono::seconds(1);
    if (lease::NextDeadline(state) <= now) {
      Drive(state, store, lease::DeadlineReached{}, now);
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
