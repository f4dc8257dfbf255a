#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "absl/status/statusor.h"

#include "gossip/digest.h"

namespace heatherdeal::gossip {

/// Returns the binary encoding of a digest. The digest must be within the
/// limits of digest.h.
std::vector<std::byte>
Encode(const Digest& aDigest);

/// Decodes a digest. Returns InvalidInput if the bytes are truncated or exceed
/// a limit of digest.h.
absl::StatusOr<Digest>
Decode(std::span<const std::byte> aBytes);

} // namespace heatherdeal::gossip
