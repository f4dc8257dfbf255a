#pragma once

#include "absl/status/statusor.h"

#include "lease/lease.h"
#include "objectstore/object.h"

namespace heatherdeal::lease {

std::string
ToJson(const LeaseRecord& aRecord);

/// Parses the stored lease. Returns a record with version 0 if the object does
/// not exist, and InvalidInput if its value is not a valid lease.
absl::StatusOr<LeaseRecord>
ParseLeaseRecord(const objectstore::StoredObject& aObject);

} // namespace heatherdeal::lease
