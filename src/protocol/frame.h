#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace heatherdeal::protocol {

/// Maximum size of a frame (one datagram between processes), in bytes.
inline constexpr size_t kMaxFrameBytes = 2800;
/// Size of what a frame holds before its payload, in bytes.
inline constexpr size_t kFrameHeaderBytes = 18;

/// Holds the secrets that authenticate datagrams, by key number. Frames are
/// signed with the active key and accepted with any key, so that keys can be
/// replaced one at a time.
struct KeyRing
{
  uint8_t m_activeKey = 0;
  std::map<uint8_t, std::string> m_secrets;
};

/// Returns a signed frame that contains the payload. The caller ensures that
/// the payload and kFrameHeaderBytes fit into kMaxFrameBytes.
std::vector<std::byte>
EncodeFrame(const KeyRing& aKeys, std::span<const std::byte> aPayload);

/// Verifies a frame and returns a view of its payload, which is valid as long
/// as aFrame. Returns InvalidInput if the size, version, key number or
/// signature is invalid.
absl::StatusOr<std::span<const std::byte>>
DecodeFrame(const KeyRing& aKeys, std::span<const std::byte> aFrame);

} // namespace heatherdeal::protocol
