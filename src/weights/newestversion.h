#pragma once

#include "absl/status/statusor.h"

#include "core/weightversion.h"
#include "objectstore/object.h"

namespace heatherdeal::weights {

/// The version that an object of the weight store names; InvalidInput if it
/// names none.
absl::StatusOr<core::WeightVersion>
ParseNewestVersion(const objectstore::StoredObject& aObject);

} // namespace heatherdeal::weights
