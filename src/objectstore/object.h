#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace heatherdeal::objectstore {

/// Maximum size of an object's value in the object API, in bytes.
inline constexpr size_t kMaxValueBytes = 1024 * 1024;

/// Identifies an object by its kind and its name within the kind.
struct ObjectKey
{
  std::string m_kind;
  std::string m_name;

  auto operator<=>(const ObjectKey&) const = default;
};

/// An object as returned by the store. Version 0 means that it does not exist.
struct StoredObject
{
  ObjectKey m_key;
  uint64_t m_version = 0;
  std::string m_value;
  /// Token of the write that created this version.
  std::string m_writeToken;
};

/// How recent the result of a read has to be.
enum class Freshness : uint8_t
{
  Latest,
  /// The result may be seconds old; some stores serve such reads at a lower
  /// cost.
  MayBeStale,
};

} // namespace heatherdeal::objectstore
