#include "relay/upstreamcodec.h"

#include "kernel/codecregistry.h"

namespace heatherdeal::relay {

namespace {

const UpstreamCodec kNoCodec;

} // namespace

UpstreamCodecRegistration::UpstreamCodecRegistration(
  const UpstreamCodec& aCodec)
{
  kernel::CodecRegistry<UpstreamCodec>::Register(aCodec);
}

const UpstreamCodec&
CodecInUse()
{
  return kernel::CodecRegistry<UpstreamCodec>::GetOrDefault(kNoCodec);
}

} // namespace heatherdeal::relay
