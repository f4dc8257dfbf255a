#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "absl/status/statusor.h"

#include "gossip/digest.h"

namespace heatherdeal::gossip {

std::vector<std::byte>
Encode(const Digest& aDigest);

/// InvalidInput for anything that Encode does not make.
absl::StatusOr<Digest>
Decode(std::span<const std::byte> aBytes);

} // namespace heatherdeal::gossip
