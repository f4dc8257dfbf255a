#include "relay/upstreamcodec.h"

namespace heatherdeal::relay {

namespace {

UpstreamCodec&
Registered()
{
  static UpstreamCodec registered;
  return registered;
}

} // namespace

UpstreamCodecRegistration::UpstreamCodecRegistration(
  const UpstreamCodec& aCodec)
{
  Registered() = aCodec;
}

const UpstreamCodec&
CodecInUse()
{
  return Registered();
}

} // namespace heatherdeal::relay
