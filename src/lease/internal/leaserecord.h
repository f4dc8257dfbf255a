#pragma once

#include "absl/status/statusor.h"

#include "lease/lease.h"
#include "objectstore/object.h"

namespace heatherdeal::lease {

std::string
ToJson(const LeaseRecord& aRecord);

/// A missing object is a record of version 0; InvalidInput if the value is
/// no lease.
absl::StatusOr<LeaseRecord>
ParseRecord(const objectstore::StoredObject& aObject);

} // namespace heatherdeal::lease
