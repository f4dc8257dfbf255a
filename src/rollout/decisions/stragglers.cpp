#include "rollout/decisions/stragglers.h"

#include "core/overloaded.h"
#include "rollout/decisions/engines.h"
#include "rollout/decisions/streams.h"

namespace heatherdeal::rollout {

namespace {

using Effects = std::vector<ShardEffect>;

/// Returns how many groups the waiting pull still needs; 0 if no pull waits.
size_t
MissingGroups(const ShardState& aState)
{
  const delivery::DeliveryState& delivery = aState.m_delivery;
  const size_t needed = delivery.m_policy.m_groupsPerBatch;
  if (!delivery.m_waiting || delivery.m_ready.size() >= needed) {
    return 0;
  }
  return needed - delivery.m_ready.size();
}

bool
IsWorthMoving(const ShardState& aState,
              const SampleProgress& aSample,
              const EngineView& aTarget,
              uint32_t aLoadGapPercent)
{
  if (aSample.m_stage != SampleStage::Running || aSample.m_migrated) {
    return false;
  }
  const auto current = aState.m_engines.find(aSample.m_engine);
  return current != aState.m_engines.end() &&
         LoadPercent(current->second) >= LoadPercent(aTarget) + aLoadGapPercent;
}

void
MoveSamples(ShardState& aState,
            core::GroupOrdinal aOrdinal,
            GroupProgress& aGroup,
            uint32_t aLoadGapPercent,
            core::Instant aNow,
            Effects& aEffects)
{
  for (uint32_t member = 0; member < aGroup.m_samples.size(); ++member) {
    SampleProgress& sample = aGroup.m_samples[member];
    const EngineView* target =
      ChooseEngine(aState, Freshness::WithinBound, aNow);
    if (target == nullptr) {
      return;
    }
    if (IsWorthMoving(aState, sample, *target, aLoadGapPercent)) {
      Stop(aState, { aOrdinal, member }, sample, aEffects);
      sample.m_migrated = true;
      sample.m_urgent = true;
      aState.m_totals.m_migrations += 1;
    }
  }
}

void
Migrate(ShardState& aState,
        const MigrateLate& aPolicy,
        core::Instant aNow,
        Effects& aEffects)
{
  const size_t missing = MissingGroups(aState);
  if (missing == 0 || missing > aPolicy.m_lateGroups) {
    return;
  }
  size_t left = missing;
  for (auto& [ordinal, group] : aState.m_groups) {
    if (group.m_stage != GroupStage::Generating) {
      continue;
    }
    MoveSamples(
      aState, ordinal, group, aPolicy.m_loadGapPercent, aNow, aEffects);
    left -= 1;
    if (left == 0) {
      return;
    }
  }
}

} // namespace

void
MigrateStragglers(ShardState& aState, core::Instant aNow, Effects& aEffects)
{
  // The policy is copied because the visitor changes aState, which contains
  // the original.
  const StragglerPolicy policy = aState.m_policy.m_straggler;
  std::visit(core::Overloaded{ [&](const MigrateLate& aPolicy) {
                                Migrate(aState, aPolicy, aNow, aEffects);
                              },
                               [](const auto&) {} },
             policy);
}

} // namespace heatherdeal::rollout
