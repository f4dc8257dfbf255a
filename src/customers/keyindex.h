#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <unordered_map>

#include "core/ids.h"

namespace heatherdeal::customers {

/// Digest of an API key. It must depend on a secret of the process, so that
/// nobody else can choose keys by their digests.
using KeyDigest = std::array<uint8_t, 32>;

/// Takes the hash from the digest, whose bytes are evenly distributed already.
struct KeyDigestHash
{
  size_t operator()(const KeyDigest& aDigest) const
  {
    size_t hash = 0;
    std::memcpy(&hash, aDigest.data(), sizeof(hash));
    return hash;
  }
};

/// Maps digests of API keys to customers, with constant work for a look-up.
class KeyIndex
{
public:
  void Add(const KeyDigest& aDigest, const core::CustomerId& aCustomer);
  /// Returns the customer that has the key, or null if none has it.
  const core::CustomerId* Find(const KeyDigest& aDigest) const;

private:
  std::unordered_map<KeyDigest, core::CustomerId, KeyDigestHash> m_customers;
};

} // namespace heatherdeal::customers
