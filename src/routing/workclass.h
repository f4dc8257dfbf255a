#pragma once

#include <cstdint>
#include <string_view>

namespace heatherdeal::routing {

/// Requests of one service that are expected to cost about the same. The
/// default value stands for requests of which nothing is known.
struct WorkClass
{
  /// Name of the route.
  std::string_view m_route;
  uint64_t m_bodyBytes = 0;
  /// Distinguishes kinds of requests of one route.
  uint32_t m_kind = 0;
};

/// Identifies a work class within a service.
struct WorkKey
{
  uint64_t m_value = 0;

  auto operator<=>(const WorkKey&) const = default;
};

/// Returns the key. Bodies whose sizes have the same number of binary digits
/// share one.
WorkKey
KeyOf(const WorkClass& aClass);

} // namespace heatherdeal::routing
