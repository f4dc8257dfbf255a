#pragma once

#include "absl/status/statusor.h"

#include "core/weightversion.h"
#include "platform/object.h"

namespace heatherdeal::weights {

/// The version that an object of the weight store names; InvalidInput if it
/// names none.
absl::StatusOr<core::WeightVersion>
ParseNewestVersion(const platform::StoredObject& aObject);

} // namespace heatherdeal::weights
