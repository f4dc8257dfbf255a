#pragma once

#include <optional>

namespace heatherdeal::kernel {

/// The encoding of a kind that a binary has registered before main; a copy.
template<typename Codec>
class CodecRegistry
{
public:
  static void Register(const Codec& aCodec) { Slot() = aCodec; }

  /// The registered encoding, or the one given.
  static const Codec& InUse(const Codec& aDefault)
  {
    return Slot() ? *Slot() : aDefault;
  }

private:
  static std::optional<Codec>& Slot()
  {
    static std::optional<Codec> slot;
    return slot;
  }
};

} // namespace heatherdeal::kernel
