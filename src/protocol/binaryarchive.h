#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <istream>
#include <span>
#include <streambuf>
#include <string>
#include <string_view>
#include <type_traits>

#include "absl/status/statusor.h"

#include "cereal/archives/portable_binary.hpp"

#include "core/failure.h"
#include "core/instant.h"

namespace heatherdeal::protocol {

using OutputArchive = cereal::PortableBinaryOutputArchive;
using InputArchive = cereal::PortableBinaryInputArchive;

/// Thrown if a decoded count or length exceeds its limit.
struct LimitExceeded : std::exception
{};

/// Stream buffer that reads from a span without copying it.
class SpanBuffer : public std::streambuf
{
public:
  explicit SpanBuffer(std::span<const std::byte> aBytes)
  {
    char* begin =
      const_cast<char*>(reinterpret_cast<const char*>(aBytes.data()));
    setg(begin, begin, begin + aBytes.size());
  }
};

/// Reads a count. cereal allocates memory for any length that it reads from the
/// input, so counts and lengths are read and checked with this instead.
template<typename Count>
Count
LoadCount(InputArchive& aArchive, size_t aMaxCount)
{
  Count count = 0;
  aArchive(count);
  if (count > aMaxCount) {
    throw LimitExceeded();
  }
  return count;
}

inline void
SaveFlag(OutputArchive& aArchive, bool aFlag)
{
  aArchive(static_cast<uint8_t>(aFlag ? 1 : 0));
}

inline bool
LoadFlag(InputArchive& aArchive)
{
  uint8_t flag = 0;
  aArchive(flag);
  return flag != 0;
}

/// Writes a time as its age in milliseconds, since hosts have no common clock.
inline void
SaveAge(OutputArchive& aArchive, core::Instant aInstant, core::Instant aNow)
{
  const auto age =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aInstant);
  aArchive(
    static_cast<uint32_t>(std::clamp<int64_t>(age.count(), 0, UINT32_MAX)));
}

inline core::Instant
LoadAge(InputArchive& aArchive, core::Instant aNow)
{
  uint32_t age = 0;
  aArchive(age);
  return aNow - std::chrono::milliseconds(age);
}

/// Returns what aLoad(archive, stream) reads from the bytes. Returns
/// InvalidInput with aWhere and aExpected if the bytes are truncated or aLoad
/// throws.
template<typename Load>
absl::StatusOr<std::invoke_result_t<Load&, InputArchive&, std::istream&>>
DecodeArchive(std::span<const std::byte> aBytes,
              std::string_view aWhere,
              std::string_view aExpected,
              Load&& aLoad)
{
  try {
    SpanBuffer buffer(aBytes);
    std::istream stream(&buffer);
    InputArchive archive(stream);
    return aLoad(archive, stream);
  } catch (const std::exception&) {
    return core::ToStatus(
      core::InvalidInput{ std::string(aWhere), std::string(aExpected) });
  }
}

} // namespace heatherdeal::protocol
