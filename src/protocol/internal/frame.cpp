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
constexpr std::byte kFrameVersion{ 1 };
constexpr size_t kVersionOffset = 0;
constexpr size_t kKeyNumberOffset = 1;
constexpr size_t kSignatureOffset = 2;
constexpr size_t kSignatureBytes = 16;
static_assert(kFrameHeaderBytes == kSignatureOffset + kSignatureBytes);

using Signature = std::array<std::byte, kSignatureBytes>;

/// Returns the truncated HMAC-SHA256 of version, key number and payload.
Signature
ComputeSignature(std::string_view aSecret,
                 uint8_t aKeyNumber,
                 std::span<const std::byte> aPayload)
{
  std::vector<std::byte> signedBytes{ kFrameVersion, std::byte{ aKeyNumber } };
  signedBytes.insert(signedBytes.end(), aPayload.begin(), aPayload.end());
  std::array<unsigned char, EVP_MAX_MD_SIZE> hmac{};
  unsigned int hmacLength = 0;
  HMAC(EVP_sha256(),
       aSecret.data(),
       static_cast<int>(aSecret.size()),
       reinterpret_cast<const unsigned char*>(signedBytes.data()),
       signedBytes.size(),
       hmac.data(),
       &hmacLength);
  Signature signature{};
  std::memcpy(signature.data(), hmac.data(), signature.size());
  return signature;
}

absl::Status
InvalidFrame(const char* aField, const char* aExpected)
{
  return core::ToStatus(core::InvalidInput{ aField, aExpected });
}

} // namespace

std::vector<std::byte>
EncodeFrame(const KeyRing& aKeys, std::span<const std::byte> aPayload)
{
  const std::string& key = aKeys.m_secrets.at(aKeys.m_activeKey);
  const Signature signature =
    ComputeSignature(key, aKeys.m_activeKey, aPayload);
  std::vector<std::byte> frame{ kFrameVersion, std::byte{ aKeys.m_activeKey } };
  frame.insert(frame.end(), signature.begin(), signature.end());
  frame.insert(frame.end(), aPayload.begin(), aPayload.end());
  return frame;
}

absl::StatusOr<std::span<const std::byte>>
DecodeFrame(const KeyRing& aKeys, std::span<const std::byte> aFrame)
{
  if (aFrame.size() < kFrameHeaderBytes || aFrame.size() > kMaxFrameBytes) {
    return InvalidFrame("frame", "18 to 2800 bytes");
  }
  if (aFrame[kVersionOffset] != kFrameVersion) {
    return InvalidFrame("frame version", "1");
  }
  const auto keyNumber = static_cast<uint8_t>(aFrame[kKeyNumberOffset]);
  const auto key = aKeys.m_secrets.find(keyNumber);
  if (key == aKeys.m_secrets.end()) {
    return InvalidFrame("frame key", "the number of a configured key");
  }
  const auto payload = aFrame.subspan(kFrameHeaderBytes);
  const Signature expected = ComputeSignature(key->second, keyNumber, payload);
  const auto actual = aFrame.subspan(kSignatureOffset, kSignatureBytes);
  if (CRYPTO_memcmp(expected.data(), actual.data(), kSignatureBytes) != 0) {
    return InvalidFrame("frame signature",
                        "the HMAC-SHA256 of the frame under its key");
  }
  return payload;
}

} // namespace heatherdeal::protocol
