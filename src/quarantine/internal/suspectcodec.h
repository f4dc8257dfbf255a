#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

#include "quarantine/suspects.h"

namespace heatherdeal::quarantine {

/// Returns the binary encoding of as many of the reports, in order, as fit into
/// aMaxBytes; "" if there are none. Times are encoded as their age at aNow in
/// milliseconds.
std::string
EncodeReports(std::span<const SuspectReport> aReports,
              size_t aMaxBytes,
              core::Instant aNow);

/// Decodes reports that have arrived at aNow. Returns InvalidInput if the bytes
/// are truncated or exceed a limit.
absl::StatusOr<std::vector<SuspectReport>>
DecodeReports(std::string_view aBytes, core::Instant aNow);

} // namespace heatherdeal::quarantine
