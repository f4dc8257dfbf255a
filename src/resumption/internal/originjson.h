#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "resumption/origins.h"

namespace heatherdeal::resumption {

/// Encodes origins as a stored object of limited size, without the oldest ones
/// if there are too many. Times are stored by the wall clock, which hosts agree
/// on only roughly.
std::string
ToJson(std::span<const StreamOrigin> aOrigins, core::Instant aNow);

/// Fails with InvalidInput.
absl::StatusOr<std::vector<StreamOrigin>>
ParseOrigins(std::string_view aText, core::Instant aNow);

} // namespace heatherdeal::resumption
