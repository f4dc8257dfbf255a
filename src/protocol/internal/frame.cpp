#include "protocol/frame.h"

#include <algorithm>
#include <array>
#include <cstring>

#include "openssl/crypto.h"
#include "openssl/evp.h"
#include "openssl/hmac.h"

#include "core/failure.h"

namespace heatherdeal::protocol {

namespace {

// Frame layout: version (1 byte), key number (1 byte), signature (16 bytes),
// payload.
constexpr std::byte kVersion{ 1 };
constexpr size_t kVersionAt = 0;
constexpr size_t kKeyAt = 1;
constexpr size_t kSignatureAt = 2;
constexpr size_t kSignatureBytes = 16;
constexpr size_t kHeaderBytes = kSignatureAt + kSignatureBytes;

using Signature = std::array<std::byte, kSignatureBytes>;

/// Returns the truncated HMAC-SHA256 of version, key number and payload.
Signature
Sign(std::string_view aKey,
     uint8_t aNumber,
     std::span<const std::byte> aPayload)
{
  std::vector<std::byte> input{ kVersion, std::byte{ aNumber } };
  input.insert(input.end(), aPayload.begin(), aPayload.end());
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(input.data()),
       input.size(),
       digest.data(),
       &length);
  Signature signature{};
  std::memcpy(signature.data(), digest.data(), signature.size());
  return signature;
}

absl::Status
Invalid(const char* aWhere, const char* aExpected)
{
  return core::ToStatus(core::InvalidInput{ aWhere, aExpected });
}

} // namespace

std::vector<std::byte>
Seal(const KeyRing& aKeys, std::span<const std::byte> aPayload)
{
  const std::string& key = aKeys.m_keys.at(aKeys.m_active);
  const Signature signature = Sign(key, aKeys.m_active, aPayload);
  std::vector<std::byte> frame{ kVersion, std::byte{ aKeys.m_active } };
  frame.insert(frame.end(), signature.begin(), signature.end());
  frame.insert(frame.end(), aPayload.begin(), aPayload.end());
  return frame;
}

absl::StatusOr<std::span<const std::byte>>
Open(const KeyRing& aKeys, std::span<const std::byte> aFrame)
{
  if (aFrame.size() < kHeaderBytes || aFrame.size() > kMaxFrameBytes) {
    return Invalid("frame", "18 to 1400 bytes");
  }
  if (aFrame[kVersionAt] != kVersion) {
    return Invalid("frame version", "1");
  }
  const auto number = static_cast<uint8_t>(aFrame[kKeyAt]);
  const auto key = aKeys.m_keys.find(number);
  if (key == aKeys.m_keys.end()) {
    return Invalid("frame key", "the number of a configured key");
  }
  const auto payload = aFrame.subspan(kHeaderBytes);
  const Signature expected = Sign(key->second, number, payload);
  const auto found = aFrame.subspan(kSignatureAt, kSignatureBytes);
  if (CRYPTO_memcmp(expected.data(), found.data(), kSignatureBytes) != 0) {
    return Invalid("frame signature",
                   "the HMAC-SHA256 of the frame under its key");
  }
  return payload;
}

} // namespace heatherdeal::protocol
