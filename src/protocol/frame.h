#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace heatherdeal::protocol {

/// Largest datagram between processes, in bytes.
inline constexpr size_t kMaxFrameBytes = 2800;

/// Keys that authenticate datagrams. Frames are signed with the active key
/// and accepted with any of them, so that keys can be exchanged one by one.
struct KeyRing
{
  uint8_t m_active = 0;
  std::map<uint8_t, std::string> m_keys;
};

/// Signs a payload. The payload has to leave room for the frame's header.
std::vector<std::byte>
Seal(const KeyRing& aKeys, std::span<const std::byte> aPayload);

/// The payload of a frame; InvalidInput if its size, version or signature is
/// wrong. The view lasts as long as aFrame.
absl::StatusOr<std::span<const std::byte>>
Open(const KeyRing& aKeys, std::span<const std::byte> aFrame);

} // namespace heatherdeal::protocol
