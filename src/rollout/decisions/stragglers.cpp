#include "rollout/decisions/stragglers.h"

#include "core/overloaded.h"
#include "rollout/decisions/engines.h"
#include "rollout/decisions/streams.h"

namespace heatherdeal::rollout {

namespace {

using Effects = std::vector<ShardEffect>;

/// Returns how many groups the waiting pull still needs; 0 if no pull waits.
size_t
CountMissingGroups(const ShardState& aState)
{
  const delivery::DeliveryState& delivery = aState.m_delivery;
  const size_t groupsNeeded = delivery.m_policy.m_groupsPerBatch;
  if (!delivery.m_waitingPull ||
      delivery.m_readyGroups.size() >= groupsNeeded) {
    return 0;
  }
  return groupsNeeded - delivery.m_readyGroups.size();
}

bool
ShouldMigrateSample(const ShardState& aState,
                    const SampleProgress& aSample,
                    const EngineState& aTarget,
                    uint32_t aLoadGapPercent)
{
  if (aSample.m_stage != SampleStage::Running || aSample.m_migrated) {
    return false;
  }
  const auto currentEngine = aState.m_engines.find(aSample.m_engine);
  return currentEngine != aState.m_engines.end() &&
         ComputeLoadPercent(currentEngine->second) >=
           ComputeLoadPercent(aTarget) + aLoadGapPercent;
}

void
MigrateGroupSamples(ShardState& aState,
                    core::GroupOrdinal aOrdinal,
                    GroupProgress& aGroup,
                    uint32_t aLoadGapPercent,
                    core::Instant aNow,
                    Effects& aEffects)
{
  for (uint32_t member = 0; member < aGroup.m_samples.size(); ++member) {
    SampleProgress& sample = aGroup.m_samples[member];
    const EngineState* target =
      ChooseEngine(aState, sample, RequiredWeights::WithinBound, aNow);
    if (target != nullptr &&
        ShouldMigrateSample(aState, sample, *target, aLoadGapPercent)) {
      CancelSampleStream(aState, { aOrdinal, member }, sample, aEffects);
      sample.m_migrated = true;
      sample.m_urgent = true;
      aState.m_totals.m_migrations += 1;
    }
  }
}

void
MigrateMissingGroups(ShardState& aState,
                     const MigrateLate& aPolicy,
                     core::Instant aNow,
                     Effects& aEffects)
{
  const size_t missingGroups = CountMissingGroups(aState);
  if (missingGroups == 0 || missingGroups > aPolicy.m_maxMissingGroups) {
    return;
  }
  size_t remainingGroups = missingGroups;
  for (auto& [ordinal, group] : aState.m_groups) {
    if (group.m_stage != GroupStage::Generating) {
      continue;
    }
    MigrateGroupSamples(
      aState, ordinal, group, aPolicy.m_loadGapPercent, aNow, aEffects);
    remainingGroups -= 1;
    if (remainingGroups == 0) {
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
  const StragglerPolicy policy = aState.m_policy.m_stragglerPolicy;
  std::visit(core::Overloaded{ [&](const MigrateLate& aPolicy) {
                                MigrateMissingGroups(
                                  aState, aPolicy, aNow, aEffects);
                              },
                               [](const auto&) {} },
             policy);
}

} // namespace heatherdeal::rollout
