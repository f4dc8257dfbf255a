#include "weights/assignment.h"

#include <algorithm>
#include <optional>

namespace heatherdeal::weights {

namespace {

using Counts = std::map<std::string, size_t, std::less<>>;

// Engines start with this version of every weight set.
constexpr core::WeightVersion kFirstVersion{ 1 };

core::WeightVersion
VersionOf(const HeldVersions& aHeld, std::string_view aName)
{
  const auto found = aHeld.find(aName);
  return found == aHeld.end() ? core::WeightVersion{} : found->second;
}

/// Returns the only weight set that the engine holds beyond the initial
/// version, or nothing if there is no such set or more than one.
std::optional<std::string>
SetOf(const HeldVersions& aHeld, const HeldVersions& aTargets)
{
  std::optional<std::string> found;
  for (const auto& [name, target] : aTargets) {
    if (VersionOf(aHeld, name) <= kFirstVersion) {
      continue;
    }
    if (found) {
      return std::nullopt;
    }
    found = name;
  }
  return found;
}

void
Assign(Assignment& aInto,
       Counts& aCounts,
       const core::UpstreamId& aEngine,
       const std::string& aName)
{
  aInto[aEngine] = aName;
  aCounts[aName] += 1;
}

std::string
SmallestSet(const Counts& aCounts)
{
  return std::ranges::min_element(
           aCounts, {}, [](const auto& aEntry) { return aEntry.second; })
    ->first;
}

std::string
LargestSet(const Counts& aCounts)
{
  return std::ranges::max_element(
           aCounts, {}, [](const auto& aEntry) { return aEntry.second; })
    ->first;
}

void
Rebalance(Assignment& aAssignment, Counts& aCounts)
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
AssignEngines(const Assignment& aBefore,
              const std::map<core::UpstreamId, HeldVersions>& aEngines,
              const HeldVersions& aTargets)
{
  Assignment assignment;
  Counts counts;
  if (aTargets.empty()) {
    return assignment;
  }
  for (const auto& [name, target] : aTargets) {
    counts[name] = 0;
  }
  std::vector<core::UpstreamId> open;
  for (const auto& [engine, held] : aEngines) {
    const auto before = aBefore.find(engine);
    if (before != aBefore.end() && counts.contains(before->second)) {
      Assign(assignment, counts, engine, before->second);
      continue;
    }
    const std::optional<std::string> own = SetOf(held, aTargets);
    if (own) {
      Assign(assignment, counts, engine, *own);
    } else {
      open.push_back(engine);
    }
  }
  for (const core::UpstreamId& engine : open) {
    Assign(assignment, counts, engine, SmallestSet(counts));
  }
  Rebalance(assignment, counts);
  return assignment;
}

} // namespace heatherdeal::weights
