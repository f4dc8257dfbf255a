#include "relay/upstreamcodec.h"

namespace heatherdeal::relay {

namespace {

const UpstreamCodec*&
Registered()
{
  static const UpstreamCodec* registered = nullptr;
  return registered;
}

} // namespace

UpstreamCodecRegistration::UpstreamCodecRegistration(
  const UpstreamCodec& aCodec)
{
  Registered() = &aCodec;
}

const UpstreamCodec&
CodecInUse()
{
  return *Registered();
}

} // namespace heatherdeal::relay
