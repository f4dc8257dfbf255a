#pragma once

#include <map>
#include <string>

#include "core/ids.h"
#include "core/weightversion.h"

namespace heatherdeal::weights {

/// Versions that an engine holds, by set of weights.
using HeldVersions = std::map<std::string, core::WeightVersion, std::less<>>;

/// The set of weights that each engine is kept up to date in.
using Assignment = std::map<core::UpstreamId, std::string>;

/// Shares the engines out among sets of weights, so that each engine loads
/// one of them only. Engines keep their set; one without takes the set whose
/// newest versions it holds, as after a change of the holder; what is left
/// goes to the set with the fewest engines, and a set that has fallen two
/// behind takes one from the largest.
Assignment
AssignEngines(const Assignment& aBefore,
              const std::map<core::UpstreamId, HeldVersions>& aEngines,
              const HeldVersions& aTargets);

} // namespace heatherdeal::weights
