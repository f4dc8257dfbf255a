#include "customers/internal/keydigester.h"

#include <stdexcept>

#include "openssl/evp.h"
#include "openssl/hmac.h"
#include "openssl/rand.h"

namespace heatherdeal::customers {

KeyDigester::KeyDigester()
{
  if (RAND_bytes(m_secret.data(), static_cast<int>(m_secret.size())) != 1) {
    throw std::runtime_error("no random bytes for the digests of API keys");
  }
}

KeyDigest
KeyDigester::Digest(std::string_view aKey) const
{
  KeyDigest digest{};
  unsigned int size = 0;
  const void* result = HMAC(EVP_sha256(),
                            m_secret.data(),
                            static_cast<int>(m_secret.size()),
                            reinterpret_cast<const unsigned char*>(aKey.data()),
                            aKey.size(),
                            digest.data(),
                            &size);
  if (result == nullptr) {
    throw std::runtime_error("the digest of an API key could not be computed");
  }
  return digest;
}

} // namespace heatherdeal::customers
