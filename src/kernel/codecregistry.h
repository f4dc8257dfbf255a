#pragma once

#include <optional>

namespace heatherdeal::kernel {

/// Holds a copy of the codec of one type that this binary has registered before
/// main, if any.
template<typename Codec>
class CodecRegistry
{
public:
  static void Register(const Codec& aCodec) { RegisteredCodec() = aCodec; }

  /// Returns the registered codec, or aDefault if none is registered.
  static const Codec& GetOrDefault(const Codec& aDefault)
  {
    return RegisteredCodec() ? *RegisteredCodec() : aDefault;
  }

private:
  static std::optional<Codec>& RegisteredCodec()
  {
    static std::optional<Codec> codec;
    return codec;
  }
};

} // namespace heatherdeal::kernel
