#include "weights/assignment.h"

#include <algorithm>
#include <optional>

namespace heatherdeal::weights {

namespace {

using EngineCounts = std::map<std::string, size_t, std::less<>>;

// Engines start with this version of every weight set.
constexpr core::WeightVersion kInitialVersion{ 1 };

core::WeightVersion
FindHeldVersion(const VersionsByWeightSet& aHeld, std::string_view aName)
{
  const auto entry = aHeld.find(aName);
  return entry == aHeld.end() ? core::WeightVersion{} : entry->second;
}

/// Returns the only weight set that the engine holds beyond the initial
/// version, or nothing if there is no such set or more than one.
std::optional<std::string>
FindUpdatedSet(const VersionsByWeightSet& aHeld,
               const VersionsByWeightSet& aTargets)
{
  std::optional<std::string> foundSet;
  for (const auto& [name, target] : aTargets) {
    if (FindHeldVersion(aHeld, name) <= kInitialVersion) {
      continue;
    }
    if (foundSet) {
      return std::nullopt;
    }
    foundSet = name;
  }
  return foundSet;
}

void
AssignEngine(Assignment& aResult,
             EngineCounts& aCounts,
             const core::UpstreamId& aEngine,
             const std::string& aName)
{
  aResult[aEngine] = aName;
  aCounts[aName] += 1;
}

std::string
SmallestSet(const EngineCounts& aCounts)
{
  return std::ranges::min_element(
           aCounts, {}, [](const auto& aEntry) { return aEntry.second; })
    ->first;
}

std::string
LargestSet(const EngineCounts& aCounts)
{
  return std::ranges::max_element(
           aCounts, {}, [](const auto& aEntry) { return aEntry.second; })
    ->first;
}

void
RebalanceEngines(Assignment& aAssignment, EngineCounts& aCounts)
{
  for (;;) {
    const std::string smallest = SmallestSet(aCounts);
    const std::string largest = LargestSet(aCounts);
    if (aCounts[largest] < aCounts[smallest] + 2) {
      return;
    }
    const auto moved = std::ranges::find(
      aAssignment, largest, [](const auto& aEntry) { return aEntry.second; });
    moved->second = smallest;
    aCounts[largest] -= 1;
    aCounts[smallest] += 1;
  }
}

} // namespace

Assignment
AssignEngines(const Assignment& aPrevious,
              const std::map<core::UpstreamId, VersionsByWeightSet>& aEngines,
              const VersionsByWeightSet& aTargets)
{
  Assignment assignment;
  EngineCounts counts;
  if (aTargets.empty()) {
    return assignment;
  }
  for (const auto& [name, target] : aTargets) {
    counts[name] = 0;
  }
  std::vector<core::UpstreamId> unassigned;
  for (const auto& [engine, held] : aEngines) {
    const auto previous = aPrevious.find(engine);
    if (previous != aPrevious.end() && counts.contains(previous->second)) {
      AssignEngine(assignment, counts, engine, previous->second);
      continue;
    }
    const std::optional<std::string> heldSet = FindUpdatedSet(held, aTargets);
    if (heldSet) {
      AssignEngine(assignment, counts, engine, *heldSet);
    } else {
      unassigned.push_back(engine);
    }
  }
  for (const core::UpstreamId& engine : unassigned) {
    AssignEngine(assignment, counts, engine, SmallestSet(counts));
  }
  RebalanceEngines(assignment, counts);
  return assignment;
}

} // namespace heatherdeal::weights
