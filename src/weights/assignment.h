#pragma once

#include <map>
#include <string>

#include "core/ids.h"
#include "core/weightversion.h"

namespace heatherdeal::weights {

/// The version of each weight set, by the name of the set.
using VersionsByWeightSet =
  std::map<std::string, core::WeightVersion, std::less<>>;

/// The weight set that each engine is kept up to date with.
using Assignment = std::map<core::UpstreamId, std::string>;

/// Distributes the engines among the weight sets, so that each engine loads
/// only one of them. An engine keeps its set. An engine without a set gets the
/// only set that it holds in a newer version than the initial one, which
/// restores the assignment after a change of the lease holder. The other
/// engines go to the sets with the fewest engines. Finally, engines move from
/// the largest set to the smallest until the sizes differ by at most one.
Assignment
AssignEngines(const Assignment& aPrevious,
              const std::map<core::UpstreamId, VersionsByWeightSet>& aEngines,
              const VersionsByWeightSet& aTargets);

} // namespace heatherdeal::weights
