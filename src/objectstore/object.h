#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace heatherdeal::objectstore {

/// Largest value that the object API takes, in bytes.
inline constexpr size_t kMaxValueBytes = 1024 * 1024;

struct ObjectKey
{
  std::string m_kind;
  std::string m_name;

  auto operator<=>(const ObjectKey&) const = default;
};

/// An object as the store returned it. Version 0: there is no such object.
struct StoredObject
{
  ObjectKey m_key;
  uint64_t m_version = 0;
  std::string m_value;
  /// Names the write that made this version.
  std::string m_writeToken;
};

/// How new the answer to a read has to be.
enum class Freshness : uint8_t
{
  Latest,
  /// May be seconds old, where the store answers such reads for less.
  MayLag,
};

} // namespace heatherdeal::objectstore
