#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/failure.h"
#include "core/ids.h"

namespace heatherdeal::configuration {

/// A customer, whose callers identify themselves by its API keys.
struct Customer
{
  core::CustomerId m_name;
  /// Secrets, which must not appear in logs, dumps, metrics or errors.
  std::vector<std::string> m_keys;
  /// Replaces the priority of the route; 0 is the highest.
  std::optional<uint32_t> m_priority;
};

/// Stands in errors in place of a value that may contain a key.
inline constexpr std::string_view kHiddenValue = "(hidden)";

/// What settings of this host demand of a document.
struct DocumentRequirements
{
  bool m_needsCustomers = false;
};

/// Returns an error if the customers do not meet the requirements.
std::vector<core::InvalidSetting>
ValidateRequirements(std::span<const Customer> aCustomers,
                     const DocumentRequirements& aRequirements);

/// Returns every inconsistency among the customers. The errors do not contain
/// keys.
std::vector<core::InvalidSetting>
ValidateCustomers(std::span<const Customer> aCustomers);

} // namespace heatherdeal::configuration
