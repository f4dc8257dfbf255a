#include "rollout/decisions/admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "core/overloaded.h"

namespace heatherdeal::rollout {

namespace {

uint32_t
ExtraGroupCount(const StragglerPolicy& aPolicy)
{
  return std::visit(core::Overloaded{ [](const WaitForAll&) { return 0U; },
                                      [](const auto& aParameters) {
                                        return aParameters.m_extraGroups;
                                      } },
                    aPolicy);
}

size_t
CountEngineSlots(const ShardState& aState)
{
  size_t slots = 0;
  for (const auto& [id, engine] : aState.m_engines) {
    slots += engine.m_report.m_slots;
  }
  return slots;
}

} // namespace

size_t
ComputeMaxConcurrentGroups(const ShardState& aState)
{
  const ShardPolicy& policy = aState.m_policy;
  return std::visit(
    core::Overloaded{ [&policy](const StalenessAdmission& aAdmission) {
                       const double maxGroups =
                         aAdmission.m_batchesAhead * policy.m_groupsPerBatch;
                       return static_cast<size_t>(std::ceil(maxGroups)) +
                              ExtraGroupCount(policy.m_stragglerPolicy);
                     },
                      [&](const UnlimitedAdmission&) {
                        const size_t groupsOnEngines =
                          CountEngineSlots(aState) / policy.m_samplesPerGroup;
                        return aState.m_delivery.m_readyGroups.size() +
                               groupsOnEngines + 1;
                      },
                      [&policy](const SynchronousAdmission&) {
                        return static_cast<size_t>(policy.m_groupsPerBatch);
                      } },
    policy.m_admissionPolicy);
}

bool
HasFreshEnoughWeights(const ShardState& aState, const EngineState& aEngine)
{
  const uint64_t versionsBehind = core::VersionsBehind(
    aEngine.m_report.m_version, aState.m_delivery.m_newestVersion);
  const bool isSynchronous = std::holds_alternative<SynchronousAdmission>(
    aState.m_policy.m_admissionPolicy);
  return versionsBehind <=
         (isSynchronous ? 0 : aState.m_policy.m_stalenessBound);
}

core::GroupOrdinal
FindFirstUnstartedGroup(const ShardState& aState, core::GroupOrdinal aFrom)
{
  const auto& cursor = aState.m_delivery.m_cursor;
  core::GroupOrdinal ordinal = aFrom;
  while (aState.m_groups.contains(ordinal) ||
         (cursor && delivery::Contains(cursor->m_done, ordinal))) {
    ++ordinal;
  }
  return ordinal;
}

} // namespace heatherdeal::rollout
