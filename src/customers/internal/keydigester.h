#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "customers/keyindex.h"

namespace heatherdeal::customers {

/// Computes digests of API keys with a random secret of this process. Any
/// thread.
class KeyDigester
{
public:
  KeyDigester();

  KeyDigest Digest(std::string_view aKey) const;

private:
  std::array<uint8_t, 32> m_secret{};
};

} // namespace heatherdeal::customers
