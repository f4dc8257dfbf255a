// Decodes arbitrary bytes as a signed frame and as a gossip digest, as anyone
// on the network can send them.

#include <cstdint>
#include <span>

#include "gossip/internal/digestcodec.h"
#include "protocol/frame.h"

extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace heatherdeal;
  const auto bytes = std::as_bytes(std::span(aData, aSize));
  const protocol::KeyRing keys{ 1, { { 1, "a key of the fuzzer" } } };
  (void)protocol::DecodeFrame(keys, bytes);
  const auto digest = gossip::Decode(bytes);
  if (digest.ok()) {
    // A decoded digest must survive encoding and decoding unchanged.
    const auto roundTripped = gossip::Decode(gossip::Encode(*digest));
    if (!roundTripped.ok() || !(*roundTripped == *digest)) {
      __builtin_trap();
    }
  }
  return 0;
}
