#pragma once

#include "absl/status/statusor.h"

#include "core/weightversion.h"
#include "objectstore/object.h"

namespace heatherdeal::weights {

/// Returns the newest version named by an object of the weight store, or
/// InvalidInput if the object has no valid version.
absl::StatusOr<core::WeightVersion>
ParseNewestVersion(const objectstore::StoredObject& aObject);

} // namespace heatherdeal::weights
